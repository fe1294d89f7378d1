#include "gateway/KindFollower.h"

#include "net/LogLine.h"

#include <log4cplus/logger.h>
#include <log4cplus/loggingmacros.h>

#include <algorithm>
#include <utility>

namespace Tarragon {

namespace {

using Platform::CallOutcome;

/// Time of a watch without changes, the longest that the platform allows. Each watch is a priced
/// call; silent connections are found by keep-alive probes, so that this bounds only what the store
/// itself withholds.
constexpr milliseconds WatchTime{ 30'000 };
constexpr milliseconds ShortestWatch{ 1 };
/// Time beyond the watch in which its answer must come.
constexpr milliseconds WatchSlack{ 2'000 };
/// The store answers in milliseconds; sixty times that when it is slow.
constexpr milliseconds ListTimeout{ 1'000 };
/// Pauses between calls while the store is away. Short, because an entry that was cut off is bound
/// by what the store holds 3 s after the cut has healed, and takes vanished targets for lapsed in
/// the first two of them.
constexpr milliseconds ShortestPause{ 100 };
constexpr milliseconds LongestPause{ 400 };
/// Time after which a first list is used although nothing newer has come: the store has gone since.
constexpr milliseconds ConfirmTime{ 2'000 };
/// Pause of those that wait for another follower, in case that one's calls are still unanswered.
constexpr milliseconds WaitingPause{ 2'000 };

const log4cplus::Logger &logger()
{
    static const log4cplus::Logger instance = log4cplus::Logger::getInstance("store");
    return instance;
}

} // namespace

KindFollower::KindFollower(EventLoop &loop, Platform::ObjectStore &store, StoreHealth &health,
                           std::string kind, Handlers handlers, std::uint64_t seed,
                           const FollowOptions &options)
    : m_loop(loop)
    , m_store(store)
    , m_health(health)
    , m_kind(std::move(kind))
    , m_handlers(std::move(handlers))
    , m_options(options)
    , m_backoff(ShortestPause, LongestPause, seed)
{
    m_health.regained().connect(sigc::mem_fun(*this, &KindFollower::onRegained));
}

void KindFollower::list(const std::string &after)
{
    if (after.empty()) {
        m_listed = {};
        m_isListed = false;
        m_unconfirmed.reset();
        m_heldChanges.clear();
    }
    m_callBegan = m_loop.now();
    m_isCalling = true;
    // What is listed later replaces what is known and must not be older.
    const bool allowStale = m_options.mayStartStale && !m_wasListed;
    m_call = m_store.list(m_kind, after, ListTimeout, allowStale,
                          [this](const Platform::ItemPage &page) { onPage(page); });
}

bool KindFollower::noteOutcome(CallOutcome outcome, const std::string &reason)
{
    if (outcome != CallOutcome::Done) {
        onFailure(outcome, reason);
        return false;
    }
    m_isWaiting = false;
    m_backoff.reset();
    m_health.onSuccess(m_loop.now());
    return true;
}

void KindFollower::onPage(const Platform::ItemPage &page)
{
    m_isCalling = false;
    if (!noteOutcome(page.outcome, page.reason)) {
        return;
    }
    if (const std::optional<std::string> next = addPage(m_listed, page)) {
        list(*next);
        return;
    }
    // Kinds that are always read so need no confirmation.
    const bool mayBeStale = m_options.mayStartStale && !m_options.mayWatchStale && !m_wasListed;
    m_wasListed = true;
    m_isListed = true;
    m_revision = m_listed.revision;
    m_list = ListedState{ m_revision, m_listed.items.size(), 0 };
    for (const Platform::StoredItem &it : m_listed.items) {
        m_list.newest = std::max(m_list.newest, it.revision);
    }
    m_log.begin(m_revision, m_list);
    m_unconfirmed = std::exchange(m_listed, {}).items;
    if (mayBeStale) {
        m_confirmTimer = m_loop.schedule(ConfirmTime, [this] { confirm(); });
    } else {
        confirm();
    }
    if (mayBeStale && m_options.confirmsAtOnce && m_source != ChangeSource::Store) {
        readOnce();
    } else {
        watch();
    }
}

void KindFollower::confirm()
{
    m_confirmTimer.reset();
    if (!m_unconfirmed.has_value()) {
        return;
    }
    m_hasSnapshot = true;
    const std::vector<Platform::StoredItem> items = std::move(*m_unconfirmed);
    m_unconfirmed.reset();
    const std::vector<Platform::StoredChange> changes = std::exchange(m_heldChanges, {});
    m_handlers.onSnapshot(items);
    if (!changes.empty()) {
        m_handlers.onChanges(changes);
    }
}

void KindFollower::setSource(ChangeSource source)
{
    if (source == m_source) {
        return;
    }
    m_source = source;
    if (!m_isListed) {
        // The list goes on.
        return;
    }
    m_call.reset();
    m_isCalling = false;
    m_isWaiting = false;
    m_timer.reset();
    if (source == ChangeSource::Store) {
        // Nobody knows what came before.
        m_log.begin(m_revision, m_list);
        // The neighbours may be silent because the store is, and it may not take a call that waits.
        callWatch(ShortestWatch);
    }
}

std::optional<MonotonicTime> KindFollower::watchBegan() const
{
    const bool waits = m_isListed && m_isCalling && m_watchTime == WatchTime;
    return waits ? std::optional(m_callBegan) : std::nullopt;
}

std::optional<ListedState> KindFollower::unchangedList() const
{
    return m_isListed && m_revision == m_list.revision ? std::optional(m_list) : std::nullopt;
}

void KindFollower::takeNews(const Platform::ChangePage &page, bool isComplete)
{
    if (!m_isListed || m_source == ChangeSource::Store) {
        return;
    }
    if (isComplete) {
        confirm();
    }
    if (page.revision > m_revision) {
        apply(page);
    }
}

void KindFollower::apply(const Platform::ChangePage &page)
{
    m_revision = page.revision;
    if (m_source == ChangeSource::Store) {
        m_log.add(page);
    }
    if (m_unconfirmed.has_value()) {
        m_heldChanges.insert(m_heldChanges.end(), page.changes.begin(), page.changes.end());
    } else if (!page.changes.empty()) {
        m_handlers.onChanges(page.changes);
    }
}

void KindFollower::readOnce()
{
    if (m_isListed && m_source != ChangeSource::Store && !m_isCalling) {
        callWatch(ShortestWatch);
    }
}

void KindFollower::breakWatch(const std::string &reason)
{
    if (m_isListed && m_source == ChangeSource::Store && m_isCalling) {
        m_call.reset();
        m_isCalling = false;
        onFailure(CallOutcome::Unknown, reason);
    }
}

void KindFollower::watch()
{
    if (m_source != ChangeSource::Store) {
        return;
    }
    // The first call after a failure must not wait on a store that does not answer, nor the one
    // that shows whether a list was stale.
    const bool mayWait = m_backoff.isAtRest() && !m_isWaiting && !m_unconfirmed.has_value();
    callWatch(mayWait ? WatchTime : ShortestWatch);
}

void KindFollower::callWatch(milliseconds wait)
{
    m_watchTime = wait;
    const milliseconds slack = m_watchTime == WatchTime ? WatchSlack : ListTimeout;
    m_callBegan = m_loop.now();
    m_isCalling = true;
    m_call = m_store.watch(m_kind, m_revision, m_watchTime, m_watchTime + slack,
                           m_options.mayWatchStale,
                           [this](const Platform::ChangePage &page) { onChanges(page); });
}

void KindFollower::onChanges(const Platform::ChangePage &page)
{
    m_isCalling = false;
    if (!noteOutcome(page.outcome, page.reason)) {
        return;
    }
    if (page.revision < m_revision) {
        // Data from before what is known already.
        watchLater();
        return;
    }
    confirm();
    apply(page);
    const bool hasWaited = m_loop.now() - m_callBegan >= std::min(m_watchTime, ShortestPause);
    if (page.changes.empty() && hasWaited) {
        watch();
    } else {
        watchLater();
    }
}

void KindFollower::watchLater()
{
    m_timer = m_loop.schedule(m_options.batchTime, [this] { watch(); });
}

void KindFollower::onFailure(CallOutcome outcome, const std::string &reason)
{
    const bool historyGone =
            outcome == CallOutcome::HistoryGone || outcome == CallOutcome::NotFound;
    LOG4CPLUS_WARN(logger(), LogLine("store", "call-failed")
                                     .add("kind", m_kind)
                                     .add("reason", reason)
                                     .add("revision", m_revision)
                                     .text());
    if (historyGone) {
        m_revision = 0;
        m_isListed = false;
        m_timer = m_loop.schedule(ShortestPause, [this] { next(); });
        return;
    }
    const bool wasLost = m_health.isLost();
    m_health.onFailure(reason, m_callBegan);
    m_isWaiting = wasLost && m_backoff.isAtRest();
    const microseconds pause = m_isWaiting ? microseconds(WaitingPause) : m_backoff.next();
    m_timer = m_loop.schedule(pause, [this] { next(); });
}

void KindFollower::onRegained()
{
    if (m_isWaiting) {
        m_timer = m_loop.schedule(microseconds(0), [this] { next(); });
    } else if (watchBegan().has_value()) {
        // The store may not have taken the watch, or have lost it.
        callWatch(ShortestWatch);
    }
}

void KindFollower::next()
{
    if (m_revision == 0) {
        list("");
    } else {
        watch();
    }
}

} // namespace Tarragon
