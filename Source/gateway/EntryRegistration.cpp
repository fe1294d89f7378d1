#include "gateway/EntryRegistration.h"

#include "base/Digest.h"
#include "net/LogLine.h"
#include "platform/RegistryDecoder.h"

#include <log4cplus/logger.h>
#include <log4cplus/loggingmacros.h>

#include <algorithm>

namespace Tarragon {

namespace {

using Platform::CallOutcome;

constexpr milliseconds WriteTimeout{ 1'500 };
constexpr milliseconds ShortestPause{ 200 };
constexpr milliseconds LongestPause{ 2'000 };
constexpr seconds DeadCheckPeriod{ 2 };
/// A record is removed when its entry has been dead for this long. Longer than any short cut or
/// restart; until then limits of the whole deployment are divided by one entry too many.
constexpr seconds DeadTime{ 20 };

const log4cplus::Logger &logger()
{
    static const log4cplus::Logger instance = log4cplus::Logger::getInstance("entries");
    return instance;
}

void logEntry(const InstanceId &instance, std::string_view change)
{
    LOG4CPLUS_INFO(
            logger(),
            LogLine("entries", "entry").add("instance", instance).add("change", change).text());
}

} // namespace

EntryRegistration::EntryRegistration(EventLoop &loop, Platform::ObjectStore &store,
                                     EntryRoster &roster, std::uint64_t seed)
    : m_loop(loop)
    , m_store(store)
    , m_roster(roster)
    , m_backoff(ShortestPause, LongestPause, seed)
{}

void EntryRegistration::start()
{
    create();
    m_deadTimer = m_loop.scheduleEvery(DeadCheckPeriod, [this] { removeDead(); });
}

void EntryRegistration::create()
{
    m_isWriting = true;
    m_write =
            m_store.create(Platform::EntryKind, m_roster.self().instance.value(),
                           Platform::encodeEntry(m_roster.self()), WriteTimeout,
                           [this](const Platform::ItemResult &result) { onWritten(result, true); });
}

void EntryRegistration::replace()
{
    m_isWriting = true;
    m_write = m_store.replace(
            Platform::EntryKind, m_roster.self().instance.value(),
            Platform::encodeEntry(m_roster.self()), 0, WriteTimeout,
            [this](const Platform::ItemResult &result) { onWritten(result, false); });
}

void EntryRegistration::onWritten(const Platform::ItemResult &result, bool wasCreation)
{
    m_isWriting = false;
    if (m_isWithdrawn) {
        return;
    }
    if (result.outcome == CallOutcome::Done) {
        m_backoff.reset();
        m_ownRevision = result.item.revision;
        return;
    }
    if (wasCreation && result.outcome == CallOutcome::Conflict) {
        // A record of an earlier run.
        m_retry = m_loop.schedule(microseconds(0), [this] { replace(); });
        return;
    }
    LOG4CPLUS_WARN(logger(),
                   LogLine("entries", "registration-failed").add("reason", result.reason).text());
    m_retry = m_loop.schedule(m_backoff.next(), [this] { create(); });
}

void EntryRegistration::onSnapshot(const std::vector<Platform::StoredItem> &items)
{
    std::map<InstanceId, Entry> before;
    before.swap(m_entries);
    for (const Platform::StoredItem &it : items) {
        take(it);
    }
    for (auto &[id, entry] : m_entries) {
        const auto known = before.find(id);
        if (known != before.end()) {
            entry.deadSince = known->second.deadSince;
        }
    }
    checkOwnRecord();
    m_changed.emit();
}

void EntryRegistration::onChanges(const std::vector<Platform::StoredChange> &changes)
{
    for (const Platform::StoredChange &it : changes) {
        if (it.isRemoval) {
            m_entries.erase(InstanceId(it.item.name));
        } else {
            take(it.item);
        }
    }
    checkOwnRecord();
    m_changed.emit();
}

void EntryRegistration::take(const Platform::StoredItem &item)
{
    try {
        const EntryRecord record = Platform::decodeEntry(item);
        m_entries[record.instance] = Entry{ record, item.revision, std::nullopt };
    } catch (const std::exception &error) {
        LOG4CPLUS_WARN(logger(), LogLine("entries", "record-ignored")
                                         .add("instance", item.name)
                                         .add("reason", error.what())
                                         .text());
    }
}

void EntryRegistration::checkOwnRecord()
{
    const auto it = m_entries.find(m_roster.self().instance);
    const bool isThere = it != m_entries.end() && it->second.record == m_roster.self();
    if (it != m_entries.end()) {
        m_ownRevision = it->second.revision;
    }
    if (isThere) {
        // It was missed in stale data only.
        m_retry.reset();
    }
    if (!isThere && !m_isWriting && !m_isWithdrawn && !m_retry.isActive()) {
        // Another entry took this one for dead, or a late write of an earlier run has won.
        m_retry = m_loop.schedule(m_backoff.next(), [this] { create(); });
    }
}

void EntryRegistration::withdraw()
{
    m_isWithdrawn = true;
    m_retry.reset();
    m_deadTimer.reset();
    if (m_ownRevision == 0) {
        return;
    }
    // Only this run's record: a call may take effect after the next run has registered.
    m_write = m_store.remove(
            Platform::EntryKind, m_roster.self().instance.value(), m_ownRevision, WriteTimeout,
            [](const Platform::ItemResult &result) {
                LOG4CPLUS_INFO(logger(), LogLine("entries", "withdrawn")
                                                 .add("done", result.outcome == CallOutcome::Done)
                                                 .add("reason", result.reason)
                                                 .text());
            });
}

std::vector<EntryRecord> EntryRegistration::records() const
{
    std::vector<EntryRecord> records;
    records.reserve(m_entries.size());
    for (const auto &[id, entry] : m_entries) {
        records.push_back(entry.record);
    }
    return records;
}

void EntryRegistration::removeDead()
{
    const MonotonicTime now = m_loop.now();
    std::size_t live = 0;
    const Entry *longestDead = nullptr;
    InstanceId cleaner = m_roster.self().instance;
    std::uint64_t best = 0;
    for (auto &[id, entry] : m_entries) {
        if (!m_roster.isLive(id, now)) {
            if (!entry.deadSince.has_value()) {
                logEntry(id, "lost");
            }
            entry.deadSince = entry.deadSince.value_or(now);
            if (longestDead == nullptr || entry.deadSince < longestDead->deadSince) {
                longestDead = &entry;
            }
            continue;
        }
        if (entry.deadSince.has_value()) {
            logEntry(id, "seen");
        }
        entry.deadSince.reset();
        ++live;
        const std::uint64_t score = stableHash(id.value());
        if (score >= best) {
            best = score;
            cleaner = id;
        }
    }
    // An entry that sees few others is more likely cut off itself.
    const bool seesMost = live * 2 > m_entries.size();
    if (longestDead == nullptr || !seesMost || cleaner != m_roster.self().instance
        || now - *longestDead->deadSince < DeadTime) {
        return;
    }
    const std::string name = longestDead->record.instance.value();
    LOG4CPLUS_INFO(logger(), LogLine("entries", "removing-dead").add("instance", name).text());
    m_removal = m_store.remove(
            Platform::EntryKind, name, longestDead->revision, WriteTimeout,
            [name](const Platform::ItemResult &result) {
                LOG4CPLUS_INFO(logger(), LogLine("entries", "removed-dead")
                                                 .add("instance", name)
                                                 .add("done", result.outcome == CallOutcome::Done)
                                                 .text());
            });
}

} // namespace Tarragon
