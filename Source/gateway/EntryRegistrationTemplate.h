#pragma once

// Definitions of the members of BasicEntryRegistration, for the files that instantiate it.

#include "base/Digest.h"
#include "gateway/EntryRegistration.h"
#include "net/LogLine.h"
#include "platform/RegistryDecoder.h"

#include <log4cplus/logger.h>
#include <log4cplus/loggingmacros.h>

#include <algorithm>

namespace Tarragon {

inline const log4cplus::Logger &entriesLogger()
{
    static const log4cplus::Logger instance = log4cplus::Logger::getInstance("entries");
    return instance;
}

inline void logEntry(const InstanceId &instance, std::string_view change)
{
    LOG4CPLUS_INFO(
            entriesLogger(),
            LogLine("entries", "entry").add("instance", instance).add("change", change).text());
}

template<TimerLoop Loop, StoreWriter Store>
BasicEntryRegistration<Loop, Store>::BasicEntryRegistration(Loop &loop, Store &store,
                                                            EntryMembership &membership,
                                                            std::uint64_t seed)
    : m_loop(loop)
    , m_store(store)
    , m_membership(membership)
    , m_backoff(MinBackoff, MaxBackoff, seed)
{}

template<TimerLoop Loop, StoreWriter Store>
void BasicEntryRegistration<Loop, Store>::start()
{
    create();
    m_failedEntryTimer =
            m_loop.scheduleEvery(FailedEntryCheckPeriod, [this] { removeFailedEntries(); });
}

template<TimerLoop Loop, StoreWriter Store>
void BasicEntryRegistration<Loop, Store>::create()
{
    m_isWriting = true;
    m_write =
            m_store.create(Platform::EntryKind, m_membership.localEntry().instance.value(),
                           Platform::encodeEntry(m_membership.localEntry()), WriteTimeout,
                           [this](const Platform::ItemResult &result) { onWritten(result, true); });
}

template<TimerLoop Loop, StoreWriter Store>
void BasicEntryRegistration<Loop, Store>::replace()
{
    m_isWriting = true;
    m_write = m_store.replace(
            Platform::EntryKind, m_membership.localEntry().instance.value(),
            Platform::encodeEntry(m_membership.localEntry()), StoreRevision(), WriteTimeout,
            [this](const Platform::ItemResult &result) { onWritten(result, false); });
}

template<TimerLoop Loop, StoreWriter Store>
void BasicEntryRegistration<Loop, Store>::onWritten(const Platform::ItemResult &result,
                                                    bool wasCreation)
{
    m_isWriting = false;
    m_era = std::max(m_era, result.era);
    if (m_isDeregistered) {
        return;
    }
    if (result.outcome == Platform::CallOutcome::Done) {
        m_backoff.reset();
        m_ownRevision = result.item.revision;
        m_writtenAt = m_loop.now();
        return;
    }
    if (wasCreation && result.outcome == Platform::CallOutcome::Conflict) {
        // The registration of an earlier run of this instance still exists.
        m_retryTimer = m_loop.schedule(microseconds(0), [this] { replace(); });
        return;
    }
    LOG4CPLUS_WARN(entriesLogger(),
                   LogLine("entries", "registration-failed").add("reason", result.reason).text());
    m_retryTimer = m_loop.schedule(m_backoff.next(), [this] { create(); });
}

template<TimerLoop Loop, StoreWriter Store>
void BasicEntryRegistration<Loop, Store>::onSnapshot(const std::vector<Platform::StoredItem> &items,
                                                     bool isRestored)
{
    std::map<InstanceId, Entry> before;
    before.swap(m_entries);
    for (const Platform::StoredItem &it : items) {
        applyItem(it);
    }
    for (auto &[id, entry] : m_entries) {
        const auto known = before.find(id);
        if (known != before.end()) {
            entry.failedSince = known->second.failedSince;
        }
    }
    if (isRestored) {
        keepLiveEntries(before);
    }
    checkOwnRecord();
    m_changed.emit();
}

template<TimerLoop Loop, StoreWriter Store>
void BasicEntryRegistration<Loop, Store>::keepLiveEntries(const std::map<InstanceId, Entry> &before)
{
    const MonotonicTime now = m_loop.now();
    for (const auto &[id, entry] : before) {
        const auto listed = m_entries.find(id);
        const bool isListed = listed != m_entries.end()
                              && listed->second.record.incarnation == entry.record.incarnation;
        const bool isOwn = id == m_membership.localEntry().instance;
        if (!isListed && !isOwn && m_membership.isLive(id, now)) {
            Entry kept = entry;
            kept.keptUntil = now + RestoredEntryRetention;
            m_entries[id] = kept;
            logEntry(id, "kept");
        }
    }
}

template<TimerLoop Loop, StoreWriter Store>
void BasicEntryRegistration<Loop, Store>::dropUnregisteredEntries()
{
    const MonotonicTime now = m_loop.now();
    const std::size_t dropped =
            std::erase_if(m_entries, [now](const std::pair<const InstanceId, Entry> &it) {
                return it.second.keptUntil.has_value() && *it.second.keptUntil <= now;
            });
    if (dropped > 0) {
        m_changed.emit();
    }
}

template<TimerLoop Loop, StoreWriter Store>
void BasicEntryRegistration<Loop, Store>::onChanges(
        const std::vector<Platform::StoredChange> &changes)
{
    for (const Platform::StoredChange &it : changes) {
        if (it.isRemoval) {
            m_entries.erase(InstanceId(it.item.name));
        } else {
            applyItem(it.item);
        }
    }
    checkOwnRecord();
    m_changed.emit();
}

template<TimerLoop Loop, StoreWriter Store>
void BasicEntryRegistration<Loop, Store>::applyItem(const Platform::StoredItem &item)
{
    try {
        const EntryRecord record = Platform::decodeEntry(item);
        m_era = std::max(m_era, item.revision.era);
        m_entries[record.instance] = Entry{ record, item.revision, std::nullopt, std::nullopt };
    } catch (const std::exception &error) {
        LOG4CPLUS_WARN(entriesLogger(), LogLine("entries", "record-ignored")
                                                .add("instance", item.name)
                                                .add("reason", error.what())
                                                .text());
    }
}

template<TimerLoop Loop, StoreWriter Store>
void BasicEntryRegistration<Loop, Store>::checkOwnRecord()
{
    const auto it = m_entries.find(m_membership.localEntry().instance);
    const bool isRegistered =
            it != m_entries.end() && it->second.record == m_membership.localEntry();
    if (it != m_entries.end()) {
        m_ownRevision = it->second.revision;
    }
    if (isRegistered) {
        // The registration exists; it was only missing in stale data.
        m_retryTimer.reset();
    }
    if (!isRegistered && !m_isWriting && !m_isDeregistered && !m_retryTimer.isActive()) {
        // Another entry considered this one failed and removed its registration, or a late write of
        // an earlier run replaced it.
        m_retryTimer = m_loop.schedule(m_backoff.next(), [this] { create(); });
    }
}

template<TimerLoop Loop, StoreWriter Store>
void BasicEntryRegistration<Loop, Store>::deregister()
{
    m_isDeregistered = true;
    m_retryTimer.reset();
    m_failedEntryTimer.reset();
    if (!m_ownRevision.isKnown() || !isCurrent(m_ownRevision)) {
        LOG4CPLUS_INFO(entriesLogger(),
                       LogLine("entries", "withdrawn")
                               .add("done", false)
                               .add("reason", "no registration of the store's era known")
                               .text());
        return;
    }
    // Removes the registration only at this run's revision: the call may take effect after the next
    // run has registered.
    m_write = m_store.remove(
            Platform::EntryKind, m_membership.localEntry().instance.value(), m_ownRevision,
            WriteTimeout, [](const Platform::ItemResult &result) {
                LOG4CPLUS_INFO(entriesLogger(),
                               LogLine("entries", "withdrawn")
                                       .add("done", result.outcome == Platform::CallOutcome::Done)
                                       .add("reason", result.reason)
                                       .text());
            });
}

template<TimerLoop Loop, StoreWriter Store>
std::vector<EntryRecord> BasicEntryRegistration<Loop, Store>::records() const
{
    std::vector<EntryRecord> records;
    records.reserve(m_entries.size());
    for (const auto &[id, entry] : m_entries) {
        records.push_back(entry.record);
    }
    return records;
}

template<TimerLoop Loop, StoreWriter Store>
void BasicEntryRegistration<Loop, Store>::removeFailedEntries()
{
    dropUnregisteredEntries();
    const MonotonicTime now = m_loop.now();
    if (m_writtenAt.has_value() && now - *m_writtenAt >= OwnRecordDelay) {
        // The removal or loss of the record may have become known while it was being written.
        checkOwnRecord();
    }
    std::size_t responsiveCount = 0;
    const Entry *longestFailed = nullptr;
    InstanceId cleaner = m_membership.localEntry().instance;
    std::uint64_t bestScore = 0;
    for (auto &[id, entry] : m_entries) {
        if (!m_membership.isLive(id, now)) {
            if (!entry.failedSince.has_value()) {
                logEntry(id, "lost");
            }
            entry.failedSince = entry.failedSince.value_or(now);
            if (longestFailed == nullptr || entry.failedSince < longestFailed->failedSince) {
                longestFailed = &entry;
            }
            continue;
        }
        if (entry.failedSince.has_value()) {
            logEntry(id, "seen");
        }
        entry.failedSince.reset();
        ++responsiveCount;
        const std::uint64_t score = stableHash(id.value());
        if (score >= bestScore) {
            bestScore = score;
            cleaner = id;
        }
    }
    // An entry to which most others appear failed is more likely disconnected itself, and must not
    // remove them.
    const bool seesMajority = responsiveCount * 2 > m_entries.size();
    if (longestFailed == nullptr || !seesMajority || cleaner != m_membership.localEntry().instance
        || now - *longestFailed->failedSince < FailedEntryRetention
        || !isCurrent(longestFailed->revision)) {
        return;
    }
    const std::string name = longestFailed->record.instance.value();
    LOG4CPLUS_INFO(entriesLogger(),
                   LogLine("entries", "removing-dead").add("instance", name).text());
    m_removal = m_store.remove(
            Platform::EntryKind, name, longestFailed->revision, WriteTimeout,
            [name](const Platform::ItemResult &result) {
                LOG4CPLUS_INFO(entriesLogger(),
                               LogLine("entries", "removed-dead")
                                       .add("instance", name)
                                       .add("done", result.outcome == Platform::CallOutcome::Done)
                                       .text());
            });
}

} // namespace Tarragon
