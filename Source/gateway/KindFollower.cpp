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
    }
    m_callBegan = m_loop.now();
    // What is listed later replaces what is known and must not be older.
    const bool allowStale = m_options.mayStartStale && !m_hasSnapshot;
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
    if (!noteOutcome(page.outcome, page.reason)) {
        return;
    }
    if (const std::optional<std::string> next = addPage(m_listed, page)) {
        list(*next);
        return;
    }
    m_revision = m_listed.revision;
    m_hasSnapshot = true;
    const Platform::ItemPage listed = std::exchange(m_listed, {});
    m_handlers.onSnapshot(listed.items);
    watch();
}

void KindFollower::watch()
{
    // The first call after a failure must not wait on a store that does not answer.
    m_watchTime = m_backoff.isAtRest() && !m_isWaiting ? WatchTime : ShortestWatch;
    const milliseconds slack = m_watchTime == WatchTime ? WatchSlack : ListTimeout;
    m_callBegan = m_loop.now();
    m_call = m_store.watch(m_kind, m_revision, m_watchTime, m_watchTime + slack,
                           m_options.mayWatchStale,
                           [this](const Platform::ChangePage &page) { onChanges(page); });
}

void KindFollower::onChanges(const Platform::ChangePage &page)
{
    if (!noteOutcome(page.outcome, page.reason)) {
        return;
    }
    if (page.revision < m_revision) {
        // Data from before what is known already.
        watchLater();
        return;
    }
    m_revision = page.revision;
    if (!page.changes.empty()) {
        m_handlers.onChanges(page.changes);
        watchLater();
    } else if (m_loop.now() - m_callBegan < std::min(m_watchTime, ShortestPause)) {
        // It did not wait for changes.
        watchLater();
    } else {
        watch();
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
