#pragma once

#include "gateway/StoreHealth.h"
#include "net/Backoff.h"
#include "net/EventLoop.h"
#include "platform/ObjectStore.h"
#include "routing/EntryMembership.h"

#include <map>
#include <vector>

namespace Tarragon {

/// Maintains this entry's registration in the store, keeps the registrations of all entries, and
/// removes those of entries that failed long ago.
class EntryRegistration
{
public:
    EntryRegistration(EventLoop &loop, Platform::ObjectStore &store, EntryMembership &membership,
                      std::uint64_t seed);
    EntryRegistration(const EntryRegistration &) = delete;
    EntryRegistration &operator=(const EntryRegistration &) = delete;

    /// Writes this entry's registration and starts the periodic removal of failed entries.
    void start();
    /// Applies a snapshot or changes of the registrations; emits changed(). If the snapshot is the
    /// first one after the store was restored from a copy, live entries whose registrations it
    /// lacks or shows of an earlier process are kept until they register again.
    void onSnapshot(const std::vector<Platform::StoredItem> &items, bool isRestored);
    void onChanges(const std::vector<Platform::StoredChange> &changes);
    /// Removes this entry's registration, because the process is about to exit.
    void deregister();
    /// Returns all known registrations.
    std::vector<EntryRecord> records() const;
    /// Emitted when the known registrations may have changed.
    sigc::signal<void()> &changed() { return m_changed; }

private:
    struct Entry
    {
        EntryRecord record;
        StoreRevision revision;
        /// Time at which the entry was found to have failed; nothing while it is responsive.
        std::optional<MonotonicTime> failedSince;
        /// Set if the registration is missing since the store was restored: the entry is kept until
        /// this time.
        std::optional<MonotonicTime> keptUntil;
    };

    void create();
    void replace();
    void onWritten(const Platform::ItemResult &result, bool wasCreation);
    void applyItem(const Platform::StoredItem &item);
    void keepLiveEntries(const std::map<InstanceId, Entry> &before);
    void dropUnregisteredEntries();
    /// Whether a write on the condition of this revision may be sent. A revision of an earlier era
    /// may have been given out again, for another state of the object.
    bool isCurrent(const StoreRevision &revision) const { return revision.era == m_era; }
    void checkOwnRecord();
    void removeFailedEntries();

    EventLoop &m_loop;
    Platform::ObjectStore &m_store;
    EntryMembership &m_membership;
    Backoff m_backoff;
    std::map<InstanceId, Entry> m_entries;
    StoreRevision m_ownRevision;
    /// Latest era of the store that a response has shown.
    StoreEra m_era;
    bool m_isWriting = false;
    bool m_isDeregistered = false;
    HttpCallPtr m_write;
    HttpCallPtr m_removal;
    Timer m_retryTimer;
    Timer m_failedEntryTimer;
    sigc::signal<void()> m_changed;
};

} // namespace Tarragon
