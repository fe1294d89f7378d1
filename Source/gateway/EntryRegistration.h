#pragma once

#include "gateway/StoreAccess.h"
#include "net/Backoff.h"
#include "net/EventLoop.h"
#include "platform/ObjectStore.h"
#include "routing/EntryMembership.h"

#include <map>
#include <vector>

namespace Tarragon {

/// Maintains this entry's registration in the store, keeps the registrations of all entries, and
/// removes those of entries that failed long ago.
template<TimerLoop Loop, StoreWriter Store>
class BasicEntryRegistration
{
public:
    BasicEntryRegistration(Loop &loop, Store &store, EntryMembership &membership,
                           std::uint64_t seed);
    BasicEntryRegistration(const BasicEntryRegistration &) = delete;
    BasicEntryRegistration &operator=(const BasicEntryRegistration &) = delete;

    /// Writes this entry's registration and starts the periodic removal of failed entries.
    void start();
    /// Applies a snapshot or changes of the registrations; emits changed(). If the snapshot is the
    /// first one after the store was restored from a copy, other live entries whose registrations
    /// it lacks or shows of an earlier process are kept until they register again.
    void onSnapshot(const std::vector<Platform::StoredItem> &items, bool isRestored);
    void onChanges(const std::vector<Platform::StoredChange> &changes);
    /// Removes this entry's registration, because the process is about to exit.
    void deregister();
    /// Whether a write or a timer is pending that keeps this entry registered. Always the case
    /// between start() and deregister().
    bool hasPendingWork() const
    {
        return m_isWriting || m_retryTimer.isActive() || m_failedEntryTimer.isActive();
    }
    /// Returns all known registrations.
    std::vector<EntryRecord> records() const;
    /// Emitted when the known registrations may have changed.
    sigc::signal<void()> &changed() { return m_changed; }

private:
    static constexpr milliseconds WriteTimeout{ 1'500 };
    static constexpr milliseconds MinBackoff{ 200 };
    static constexpr milliseconds MaxBackoff{ 2'000 };
    static constexpr seconds FailedEntryCheckPeriod{ 2 };
    /// Time after a write within which the known registrations may lack it: they may be stale by
    /// seconds.
    static constexpr seconds OwnRecordDelay{ 5 };
    /// Time after which the registration of a failed entry is removed. It exceeds any short
    /// interruption or restart. Until then, limits of the whole deployment are divided by one entry
    /// too many.
    static constexpr seconds FailedEntryRetention{ 20 };
    /// Time for which a live entry is kept whose registration is missing since the store was
    /// restored; several times the longest pause of an entry before it registers again.
    static constexpr seconds RestoredEntryRetention{ 10 };

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

    Loop &m_loop;
    Store &m_store;
    EntryMembership &m_membership;
    Backoff m_backoff;
    std::map<InstanceId, Entry> m_entries;
    StoreRevision m_ownRevision;
    /// Latest era of the store that a response has shown.
    StoreEra m_era;
    bool m_isWriting = false;
    /// Time at which the registration was last written; nothing before the first success.
    std::optional<MonotonicTime> m_writtenAt;
    bool m_isDeregistered = false;
    StoreCallOf<Store> m_write;
    StoreCallOf<Store> m_removal;
    TimerOf<Loop> m_retryTimer;
    TimerOf<Loop> m_failedEntryTimer;
    sigc::signal<void()> m_changed;
};

extern template class BasicEntryRegistration<EventLoop, Platform::ObjectStore>;

/// The registration of a running entry.
using EntryRegistration = BasicEntryRegistration<EventLoop, Platform::ObjectStore>;

} // namespace Tarragon
