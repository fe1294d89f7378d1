#pragma once

#include "gateway/StoreHealth.h"
#include "net/Backoff.h"
#include "net/EventLoop.h"
#include "platform/ObjectStore.h"
#include "routing/EntryRoster.h"

#include <map>
#include <vector>

namespace Tarragon {

/// Keeps this entry's record in the store, follows the records of all, and removes those of entries
/// that have been dead for long.
class EntryRegistration
{
public:
    EntryRegistration(EventLoop &loop, Platform::ObjectStore &store, EntryRoster &roster,
                      std::uint64_t seed);
    EntryRegistration(const EntryRegistration &) = delete;
    EntryRegistration &operator=(const EntryRegistration &) = delete;

    /// Writes the own record.
    void start();
    /// Takes all records, or changes of them; emits changed().
    void onSnapshot(const std::vector<Platform::StoredItem> &items);
    void onChanges(const std::vector<Platform::StoredChange> &changes);
    /// Removes the own record, because the process is about to end.
    void withdraw();
    /// All records that are known.
    std::vector<EntryRecord> records() const;
    /// Emitted when the records have changed.
    sigc::signal<void()> &changed() { return m_changed; }

private:
    struct Entry
    {
        EntryRecord record;
        std::uint64_t revision = 0;
        /// When it was found dead; nothing while it lives.
        std::optional<MonotonicTime> deadSince;
    };

    void create();
    void replace();
    void onWritten(const Platform::ItemResult &result, bool wasCreation);
    void take(const Platform::StoredItem &item);
    void checkOwnRecord();
    void removeDead();

    EventLoop &m_loop;
    Platform::ObjectStore &m_store;
    EntryRoster &m_roster;
    Backoff m_backoff;
    std::map<InstanceId, Entry> m_entries;
    std::uint64_t m_ownRevision = 0;
    bool m_isWriting = false;
    bool m_isWithdrawn = false;
    HttpCallPtr m_write;
    HttpCallPtr m_removal;
    Timer m_retry;
    Timer m_deadTimer;
    sigc::signal<void()> m_changed;
};

} // namespace Tarragon
