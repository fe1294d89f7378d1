#pragma once

// Definitions of the members of BasicKindSubscription, for the files that instantiate it.

#include "gateway/KindSubscription.h"
#include "gateway/StoreLog.h"
#include "net/Guard.h"
#include "net/LogLine.h"

#include <log4cplus/loggingmacros.h>

#include <algorithm>
#include <utility>

namespace Tarragon {

template<TimerLoop Loop, StoreReader Store>
BasicKindSubscription<Loop, Store>::BasicKindSubscription(Loop &loop, Store &store,
                                                          StoreHealth &health, std::string kind,
                                                          Handlers handlers, std::uint64_t seed,
                                                          const SubscriptionOptions &options)
    : m_loop(loop)
    , m_store(store)
    , m_health(health)
    , m_kind(std::move(kind))
    , m_handlers(std::move(handlers))
    , m_options(options)
    , m_backoff(MinBackoff, MaxBackoff, seed)
{
    m_health.becameAvailable().connect(
            sigc::mem_fun(*this, &BasicKindSubscription::onStoreAvailable));
    m_health.eraChanged().connect(sigc::mem_fun(*this, &BasicKindSubscription::onEraChanged));
}

template<TimerLoop Loop, StoreReader Store>
void BasicKindSubscription<Loop, Store>::start()
{
    m_hasStarted = true;
    list("");
}

template<TimerLoop Loop, StoreReader Store>
void BasicKindSubscription<Loop, Store>::list(const std::string &after)
{
    if (after.empty()) {
        m_listPages = {};
        m_isListed = false;
        m_unconfirmedSnapshot.reset();
        m_pendingChanges.clear();
        m_listStartedAt = m_loop.now();
    }
    m_callStartedAt = m_loop.now();
    m_isCalling = true;
    // A later list replaces newer data and therefore must not be stale.
    const bool allowStale = m_options.allowStaleList && !m_hasEverListed;
    m_call = m_store.list(m_kind, after, ListTimeout, allowStale,
                          [this](const Platform::ItemPage &page) { onPage(page); });
}

template<TimerLoop Loop, StoreReader Store>
bool BasicKindSubscription<Loop, Store>::recordOutcome(Platform::CallOutcome outcome,
                                                       const std::string &reason)
{
    if (outcome != Platform::CallOutcome::Done) {
        onFailure(outcome, reason);
        return false;
    }
    m_awaitsOtherCall = false;
    m_backoff.reset();
    m_health.onSuccess(m_loop.now());
    return true;
}

template<TimerLoop Loop, StoreReader Store>
bool BasicKindSubscription<Loop, Store>::acceptsEra(StoreEra era)
{
    if (era != StoreEra() && era < m_health.era()) {
        // The store responded before it was restored.
        m_timer = m_loop.schedule(MinBackoff, [this] { continueAfterFailure(); });
        return false;
    }
    const bool isRestored = m_health.era() != StoreEra() && era > m_health.era();
    m_health.onEra(era);
    // onEraChanged() has begun a new list.
    return !isRestored;
}

template<TimerLoop Loop, StoreReader Store>
void BasicKindSubscription<Loop, Store>::onPage(const Platform::ItemPage &page)
{
    m_isCalling = false;
    if (!acceptsEra(page.era) || !recordOutcome(page.outcome, page.reason)) {
        return;
    }
    if (const std::optional<std::string> next = addPage(m_listPages, page)) {
        list(*next);
        return;
    }
    // A kind whose watches may return stale data too needs no confirmation.
    const bool mayBeStale =
            m_options.allowStaleList && !m_options.allowStaleWatch && !m_hasEverListed;
    m_hasEverListed = true;
    m_isListed = true;
    m_revision = m_listPages.revision;
    m_lastList =
            ListSummary{ m_revision, m_listPages.items.size(), StoreRevision{ m_revision.era, 0 } };
    for (const Platform::StoredItem &it : m_listPages.items) {
        m_lastList.newestRevision = std::max(m_lastList.newestRevision, it.revision);
    }
    m_log.reset(m_revision, m_lastList);
    m_unconfirmedSnapshot = std::exchange(m_listPages, {}).items;
    if (mayBeStale) {
        m_confirmTimer = m_loop.schedule(ConfirmTimeout, [this] { deliverSnapshot(); });
    } else {
        m_changesMadeAfter = m_confirmedAt;
        deliverSnapshot();
        if (!m_isListed) {
            return;
        }
        confirm(m_listStartedAt);
    }
    if (mayBeStale && m_options.confirmImmediately && m_source != ChangeSource::Store) {
        readStoreOnce();
    } else {
        watch();
    }
}

template<TimerLoop Loop, StoreReader Store>
void BasicKindSubscription<Loop, Store>::deliverSnapshot()
{
    m_confirmTimer.reset();
    if (!m_unconfirmedSnapshot.has_value()) {
        return;
    }
    m_hasSnapshot = true;
    m_isRestored = m_snapshotEra != StoreEra() && m_revision.era > m_snapshotEra;
    const StoreEra era = m_revision.era;
    const std::vector<Platform::StoredItem> items = std::move(*m_unconfirmedSnapshot);
    m_unconfirmedSnapshot.reset();
    const std::vector<Platform::StoredChange> changes = std::exchange(m_pendingChanges, {});
    const bool isApplied = callHandler([this, &items, &changes] {
        m_handlers.onSnapshot(items);
        if (!changes.empty()) {
            m_handlers.onChanges(changes);
        }
    });
    if (isApplied) {
        m_snapshotEra = era;
    }
    m_isRestored = false;
}

template<TimerLoop Loop, StoreReader Store>
bool BasicKindSubscription<Loop, Store>::callHandler(const sigc::slot<void()> &handler)
{
    if (guarded("subscription to " + m_kind, handler)) {
        return true;
    }
    m_call.reset();
    m_isCalling = false;
    m_confirmTimer.reset();
    m_isListed = false;
    m_revision = {};
    m_timer = m_loop.schedule(HandlerRetryDelay, [this] { list(""); });
    return false;
}

template<TimerLoop Loop, StoreReader Store>
bool BasicKindSubscription<Loop, Store>::hasPendingWork() const
{
    const bool isRelayed = m_isListed && m_source != ChangeSource::Store
                           && (!m_unconfirmedSnapshot.has_value() || m_confirmTimer.isActive());
    return m_isCalling || m_timer.isActive() || isRelayed;
}

template<TimerLoop Loop, StoreReader Store>
void BasicKindSubscription<Loop, Store>::setSource(ChangeSource source)
{
    if (source == m_source) {
        return;
    }
    m_source = source;
    if (!m_isListed) {
        // A list in progress continues with either source.
        return;
    }
    m_call.reset();
    m_isCalling = false;
    m_awaitsOtherCall = false;
    m_health.releaseRetry(this);
    m_timer.reset();
    if (source == ChangeSource::Store) {
        // This entry has no log of the changes before the list or before this revision.
        m_log.reset(m_revision, m_lastList);
        // The neighbours may have stopped replying because the store is unavailable; in that case
        // the store might lose a watch that waits.
        callWatch(MinWatchTime);
    }
}

template<TimerLoop Loop, StoreReader Store>
std::optional<MonotonicTime> BasicKindSubscription<Loop, Store>::watchStartedAt() const
{
    return m_isListed && isWaiting() ? std::optional(m_callStartedAt) : std::nullopt;
}

template<TimerLoop Loop, StoreReader Store>
void BasicKindSubscription<Loop, Store>::confirm(MonotonicTime time)
{
    m_confirmedAt = std::max(m_confirmedAt.value_or(time), time);
}

template<TimerLoop Loop, StoreReader Store>
std::optional<ListSummary> BasicKindSubscription<Loop, Store>::unchangedList() const
{
    return m_isListed && m_revision == m_lastList.revision ? std::optional(m_lastList)
                                                           : std::nullopt;
}

template<TimerLoop Loop, StoreReader Store>
void BasicKindSubscription<Loop, Store>::applyRelayedChanges(const Platform::ChangePage &page,
                                                             bool isComplete,
                                                             MonotonicTime confirmedAt)
{
    if (!m_isListed || m_source == ChangeSource::Store) {
        return;
    }
    m_changesMadeAfter = m_confirmedAt;
    if (isComplete) {
        deliverSnapshot();
    }
    if (m_isListed && page.revision > m_revision) {
        apply(page);
    }
    if (m_isListed && isComplete) {
        confirm(confirmedAt);
    }
}

template<TimerLoop Loop, StoreReader Store>
void BasicKindSubscription<Loop, Store>::apply(const Platform::ChangePage &page)
{
    m_revision = page.revision;
    if (m_source == ChangeSource::Store) {
        m_log.add(page);
    }
    if (m_unconfirmedSnapshot.has_value()) {
        m_pendingChanges.insert(m_pendingChanges.end(), page.changes.begin(), page.changes.end());
    } else if (!page.changes.empty()) {
        callHandler([this, &page] { m_handlers.onChanges(page.changes); });
    }
}

template<TimerLoop Loop, StoreReader Store>
void BasicKindSubscription<Loop, Store>::readStoreOnce()
{
    if (m_isListed && m_source != ChangeSource::Store && !m_isCalling) {
        callWatch(MinWatchTime);
    }
}

template<TimerLoop Loop, StoreReader Store>
void BasicKindSubscription<Loop, Store>::verify(const StoreRevision &current, MonotonicTime shownAt)
{
    if (!m_isListed || m_source != ChangeSource::Store || m_isVerifying
        || current.era != m_revision.era) {
        return;
    }
    if (m_revision >= current) {
        confirm(shownAt);
        return;
    }
    readMissedChanges(current, shownAt, true);
}

template<TimerLoop Loop, StoreReader Store>
void BasicKindSubscription<Loop, Store>::readMissedChanges(const StoreRevision &current,
                                                           MonotonicTime shownAt, bool allowStale)
{
    m_isVerifying = true;
    m_verificationStartedAt = m_loop.now();
    m_verification =
            m_store.watch(m_kind, m_revision, MinWatchTime, VerificationTimeout, allowStale,
                          [this, current, shownAt, allowStale](const Platform::ChangePage &page) {
                              m_isVerifying = false;
                              m_health.onEra(page.era);
                              if (!m_isListed || m_source != ChangeSource::Store) {
                                  return;
                              }
                              const bool isDone = page.outcome == Platform::CallOutcome::Done;
                              if (isDone && allowStale && page.revision < current) {
                                  readMissedChanges(current, shownAt, false);
                              } else {
                                  onMissedChanges(page, shownAt);
                              }
                          });
}

template<TimerLoop Loop, StoreReader Store>
void BasicKindSubscription<Loop, Store>::onMissedChanges(const Platform::ChangePage &page,
                                                         MonotonicTime shownAt)
{
    if (page.outcome != Platform::CallOutcome::Done) {
        if (page.outcome != Platform::CallOutcome::HistoryGone) {
            m_health.onFailure(page.reason, m_verificationStartedAt);
        }
        abortWatch("verification failed: " + page.reason, page.outcome);
        return;
    }
    m_changesMadeAfter = m_confirmedAt;
    const bool hasMissedChanges = !page.changes.empty() && page.revision > m_revision;
    if (page.revision > m_revision) {
        apply(page);
    }
    if (!m_isListed) {
        return;
    }
    confirm(shownAt);
    if (hasMissedChanges && isWaiting() && m_loop.now() - m_callStartedAt >= DeliveryTime) {
        LOG4CPLUS_WARN(storeLogger(), LogLine("store", "watch-replaced")
                                              .add("kind", m_kind)
                                              .add("era", m_revision.era)
                                              .add("revision", m_revision.number)
                                              .add("waitedMs", m_loop.now() - m_callStartedAt)
                                              .text());
        callWatch(m_options.watchTime);
    }
}

template<TimerLoop Loop, StoreReader Store>
void BasicKindSubscription<Loop, Store>::abortWatch(const std::string &reason,
                                                    Platform::CallOutcome outcome)
{
    if (m_isListed && m_source == ChangeSource::Store && m_isCalling) {
        m_call.reset();
        m_isCalling = false;
        onFailure(outcome, reason);
    }
}

template<TimerLoop Loop, StoreReader Store>
void BasicKindSubscription<Loop, Store>::watch()
{
    if (m_source != ChangeSource::Store) {
        return;
    }
    // The first call after a failure must not wait on a store that may not respond. The call that
    // confirms a first list must not wait either.
    const bool mayWait =
            m_backoff.isAtRest() && !m_awaitsOtherCall && !m_unconfirmedSnapshot.has_value();
    callWatch(mayWait ? m_options.watchTime : MinWatchTime);
}

template<TimerLoop Loop, StoreReader Store>
void BasicKindSubscription<Loop, Store>::callWatch(milliseconds wait)
{
    m_watchTime = wait;
    const milliseconds slack =
            m_watchTime == m_options.watchTime ? WatchResultTimeout : ListTimeout;
    m_callStartedAt = m_loop.now();
    m_isCalling = true;
    m_call = m_store.watch(m_kind, m_revision, m_watchTime, m_watchTime + slack,
                           m_options.allowStaleWatch,
                           [this](const Platform::ChangePage &page) { onChanges(page); });
}

template<TimerLoop Loop, StoreReader Store>
void BasicKindSubscription<Loop, Store>::onChanges(const Platform::ChangePage &page)
{
    const microseconds duration = m_loop.now() - m_callStartedAt;
    // A watch that was waiting returns a change as soon as it is made.
    const bool wasWaiting = m_watchTime == m_options.watchTime && duration >= DeliveryTime;
    const MonotonicTime completeAt = wasWaiting ? m_loop.now() - DeliveryTime : m_callStartedAt;
    m_changesMadeAfter =
            wasWaiting ? std::max(confirmedAt(), std::optional(completeAt)) : confirmedAt();
    m_isCalling = false;
    if (!acceptsEra(page.era) || !recordOutcome(page.outcome, page.reason)) {
        return;
    }
    if (page.revision < m_revision) {
        // The result is stale: it is older than the known revision.
        scheduleWatch();
        return;
    }
    deliverSnapshot();
    if (m_isListed) {
        apply(page);
    }
    if (!m_isListed) {
        return;
    }
    confirm(std::max(completeAt, m_changesMadeAfter.value_or(completeAt)));
    const bool hasWaited = duration >= std::min(m_watchTime, MinBackoff);
    if (page.changes.empty() && hasWaited) {
        watch();
    } else {
        scheduleWatch();
    }
}

template<TimerLoop Loop, StoreReader Store>
void BasicKindSubscription<Loop, Store>::scheduleWatch()
{
    m_timer = m_loop.schedule(m_options.batchTime, [this] { watch(); });
}

template<TimerLoop Loop, StoreReader Store>
void BasicKindSubscription<Loop, Store>::onFailure(Platform::CallOutcome outcome,
                                                   const std::string &reason)
{
    const bool historyGone = outcome == Platform::CallOutcome::HistoryGone
                             || outcome == Platform::CallOutcome::NotFound;
    LOG4CPLUS_WARN(storeLogger(), LogLine("store", "call-failed")
                                          .add("kind", m_kind)
                                          .add("reason", reason)
                                          .add("era", m_revision.era)
                                          .add("revision", m_revision.number)
                                          .text());
    if (historyGone) {
        m_revision = {};
        m_isListed = false;
        m_timer = m_loop.schedule(MinBackoff, [this] { continueAfterFailure(); });
        return;
    }
    m_health.onFailure(reason, m_callStartedAt);
    m_awaitsOtherCall = m_health.isUnavailable() && !m_health.claimRetry(this);
    const microseconds pause =
            m_awaitsOtherCall ? microseconds(StoreRecheckDelay) : m_backoff.next();
    m_timer = m_loop.schedule(pause, [this] { continueAfterFailure(); });
}

template<TimerLoop Loop, StoreReader Store>
void BasicKindSubscription<Loop, Store>::onStoreAvailable()
{
    if (m_awaitsOtherCall) {
        m_timer = m_loop.schedule(microseconds(0), [this] { continueAfterFailure(); });
    } else if (watchStartedAt().has_value()) {
        // The store may never have received the watch in progress, or may have lost it during the
        // outage.
        callWatch(MinWatchTime);
    }
}

template<TimerLoop Loop, StoreReader Store>
void BasicKindSubscription<Loop, Store>::onEraChanged()
{
    LOG4CPLUS_WARN(storeLogger(), LogLine("store", "restored")
                                          .add("kind", m_kind)
                                          .add("era", m_health.era())
                                          .add("knownEra", m_revision.era)
                                          .add("revision", m_revision.number)
                                          .text());
    if (!m_hasStarted) {
        return;
    }
    m_call.reset();
    m_timer.reset();
    m_confirmTimer.reset();
    m_awaitsOtherCall = false;
    m_revision = {};
    // Posted, because the call of this subscription may be on the stack.
    m_timer = m_loop.schedule(microseconds(0), [this] { list(""); });
    m_isListed = false;
    m_isCalling = false;
}

template<TimerLoop Loop, StoreReader Store>
void BasicKindSubscription<Loop, Store>::continueAfterFailure()
{
    if (!m_revision.isKnown()) {
        list("");
    } else {
        watch();
    }
}

} // namespace Tarragon
