#pragma once

// Definitions of the members of BasicStoreRelay, for the files that instantiate it.

#include "gateway/RelayCodec.h"
#include "gateway/StoreLog.h"
#include "gateway/StoreRelay.h"
#include "net/LogLine.h"
#include "platform/RegistryDecoder.h"

#include <log4cplus/loggingmacros.h>

#include <algorithm>
#include <iterator>
#include <limits>
#include <utility>

namespace Tarragon {

template<TimerLoop Loop, StoreReader Store>
BasicStoreRelay<Loop, Store>::BasicStoreRelay(Loop &loop, EntryMembership &membership,
                                              StoreHealth &health, Store &store, AskSlot ask,
                                              bool isFirstStart)
    : m_loop(loop)
    , m_membership(membership)
    , m_health(health)
    , m_store(store)
    , m_ask(std::move(ask))
    , m_earliestWatchAt(loop.now() + (isFirstStart ? FirstStartWatchDelay : milliseconds(0)))
    , m_decisionDeadline(loop.now() + (isFirstStart ? FirstStartDecisionTimeout : DecisionTimeout))
    , m_firstStartEndsAt(loop.now() + (isFirstStart ? FirstStartDuration : milliseconds(0)))
{}

template<TimerLoop Loop, StoreReader Store>
void BasicStoreRelay<Loop, Store>::add(Subscription &subscription)
{
    m_subscriptions.push_back(&subscription);
    subscription.setSource(m_source);
}

template<TimerLoop Loop, StoreReader Store>
void BasicStoreRelay<Loop, Store>::start()
{
    if (!m_timer.isActive()) {
        m_timer = m_loop.scheduleEvery(PollPeriod, [this] { poll(); });
        m_viewCheckTimer = m_loop.scheduleEvery(ViewCheckPeriod, [this] { checkViews(); });
        poll();
    }
}

template<TimerLoop Loop, StoreReader Store>
void BasicStoreRelay<Loop, Store>::poll()
{
    const MonotonicTime now = m_loop.now();
    const std::vector<InstanceId> watchers = m_membership.watchers(WatchersPerDomain, now);
    const bool isWatcher =
            std::find(watchers.begin(), watchers.end(), m_membership.localEntry().instance)
            != watchers.end();
    if (m_membership.domainEntryCount() < MinRelayDomainSize || isWatcher) {
        if (now >= m_earliestWatchAt) {
            setSource(ChangeSource::Store);
        }
        return;
    }
    const milliseconds timeout =
            now < m_firstStartEndsAt ? FirstStartWatcherTimeout : WatcherTimeout;
    const bool hasReplied = m_lastReplyAt.has_value() && now - *m_lastReplyAt <= timeout;
    if (!hasReplied && (m_source != ChangeSource::Undecided || now >= m_decisionDeadline)) {
        m_consecutiveReplies = 0;
        setSource(ChangeSource::Store);
    }
    pollWatcher(watchers);
}

template<TimerLoop Loop, StoreReader Store>
void BasicStoreRelay<Loop, Store>::pollWatcher(const std::vector<InstanceId> &watchers)
{
    const MonotonicTime now = m_loop.now();
    if (watchers.empty()) {
        return;
    }
    std::vector<InstanceId> candidates;
    std::copy_if(watchers.begin(), watchers.end(), std::back_inserter(candidates),
                 [this, now](const InstanceId &it) {
                     const auto failed = m_failedAt.find(it);
                     // While this entry has no change source yet, the watchers may be starting too
                     // and reply slightly later, so that failed ones are polled again at once.
                     return m_source == ChangeSource::Undecided || failed == m_failedAt.end()
                            || now - failed->second > FailedWatcherDelay;
                 });
    if (candidates.empty()) {
        // All watchers failed recently. Poll them anyway: one may reply again before the membership
        // shows it.
        candidates = watchers;
    }
    const InstanceId watcher = candidates[m_pollCount++ % candidates.size()];
    std::vector<const Subscription *> listed;
    std::copy_if(m_subscriptions.begin(), m_subscriptions.end(), std::back_inserter(listed),
                 [](const Subscription *it) { return it->isListed(); });
    m_ask(
            watcher, ReplyTimeout,
            [&listed](PeerRpc::Peer::RelayParams::Builder params) {
                capnp::List<PeerRpc::KindPosition>::Builder positions =
                        params.initPositions(static_cast<unsigned int>(listed.size()));
                for (unsigned int i = 0; i < positions.size(); ++i) {
                    positions[i].setKind(listed[i]->kind());
                    positions[i].setRevision(listed[i]->revision().number);
                    positions[i].setEra(listed[i]->revision().era.value());
                    if (const std::optional<ListSummary> list = listed[i]->unchangedList()) {
                        positions[i].initList().setCount(list->count);
                    }
                }
            },
            [this, watcher](const PeerRpc::Peer::RelayResults::Reader *reply) {
                onReply(watcher, reply);
            });
}

template<TimerLoop Loop, StoreReader Store>
void BasicStoreRelay<Loop, Store>::onReply(const InstanceId &watcher,
                                           const PeerRpc::Peer::RelayResults::Reader *reply)
{
    const MonotonicTime now = m_loop.now();
    if (reply == nullptr || !reply->getWatching()) {
        m_failedAt[watcher] = now;
        return;
    }
    const microseconds sinceOutage = milliseconds(static_cast<std::int64_t>(
            std::min<std::uint64_t>(reply->getSinceStoreReturnMs(), 1'000'000'000)));
    static constexpr seconds RecentOutageTime{ 3 };
    if (sinceOutage < RecentOutageTime) {
        // Registrations removed shortly after an outage may only have expired during it, because
        // they could not be renewed.
        m_health.onNeighbourOutage(now - sinceOutage);
    }
    if (m_source == ChangeSource::Undecided
        || (m_source == ChangeSource::Store && m_consecutiveReplies + 1 >= RepliesBeforeRelay)) {
        setSource(ChangeSource::Neighbours);
    }
    for (const PeerRpc::KindNews::Reader it : reply->getNews()) {
        applyRelayedChanges(it);
    }
    // Reached only if the whole reply was readable; reading a malformed reply throws, and then it
    // does not count as a reply.
    m_failedAt.erase(watcher);
    m_lastReplyAt = now;
    ++m_consecutiveReplies;
}

template<TimerLoop Loop, StoreReader Store>
void BasicStoreRelay<Loop, Store>::applyRelayedChanges(PeerRpc::KindNews::Reader news)
{
    Subscription *subscription = find(news.getKind());
    if (subscription == nullptr) {
        return;
    }
    const StoreEra era(news.getEra());
    if (era != m_health.era()) {
        // Changes of a later era follow the new list that onEra() begins.
        m_health.onEra(era);
        return;
    }
    const bool isComplete = news.getCoverage() == PeerRpc::NewsCoverage::COMPLETE;
    if (!isComplete && news.getCoverage() != PeerRpc::NewsCoverage::PARTIAL) {
        LOG4CPLUS_INFO(storeLogger(), LogLine("store", "news-missing")
                                              .add("kind", subscription->kind())
                                              .add("revision", subscription->revision().number)
                                              .text());
        subscription->readStoreOnce();
        return;
    }
    try {
        subscription->applyRelayedChanges(pageOf(news), isComplete, m_loop.now() - ageOf(news));
    } catch (const std::exception &error) {
        LOG4CPLUS_WARN(storeLogger(), LogLine("store", "news-refused")
                                              .add("kind", subscription->kind())
                                              .add("reason", error.what())
                                              .text());
        subscription->readStoreOnce();
    }
}

template<TimerLoop Loop, StoreReader Store>
void BasicStoreRelay<Loop, Store>::setSource(ChangeSource source)
{
    if (source == m_source) {
        return;
    }
    m_source = source;
    for (Subscription *it : m_subscriptions) {
        it->setSource(source);
    }
    LOG4CPLUS_INFO(storeLogger(),
                   LogLine("store", "change-source").add("source", toString(source)).text());
}

template<TimerLoop Loop, StoreReader Store>
void BasicStoreRelay<Loop, Store>::checkViews()
{
    if (m_source == ChangeSource::Store) {
        checkStore();
    } else if (m_source == ChangeSource::Neighbours) {
        refreshOldViews();
    }
}

template<TimerLoop Loop, StoreReader Store>
void BasicStoreRelay<Loop, Store>::refreshOldViews()
{
    const MonotonicTime oldest = m_loop.now() - MaxViewAge;
    for (Subscription *it : m_subscriptions) {
        if (it->hasSnapshot() && it->confirmedAt() < oldest) {
            it->readStoreOnce();
        }
    }
}

template<TimerLoop Loop, StoreReader Store>
bool BasicStoreRelay<Loop, Store>::isWatching() const
{
    return m_source == ChangeSource::Store && !m_health.isUnavailable()
           && std::all_of(m_subscriptions.begin(), m_subscriptions.end(),
                          [](const Subscription *it) { return it->hasSnapshot(); });
}

template<TimerLoop Loop, StoreReader Store>
void BasicStoreRelay<Loop, Store>::fillReply(PeerRpc::Peer::RelayParams::Reader request,
                                             PeerRpc::Peer::RelayResults::Builder reply)
{
    m_lastPolledAt = m_loop.now();
    reply.setSinceStoreReturnMs(std::numeric_limits<std::uint64_t>::max());
    reply.setWatching(isWatching());
    if (!isWatching()) {
        return;
    }
    if (m_health.outageEndedAt().has_value()) {
        const microseconds since = m_loop.now() - *m_health.outageEndedAt();
        reply.setSinceStoreReturnMs(static_cast<std::uint64_t>(
                std::chrono::duration_cast<milliseconds>(since).count()));
    }
    const DeltaLimits limits{ MaxReplyBytes, m_loop.now() < m_firstStartEndsAt
                                                     ? FirstStartMaxReplies
                                                     : MaxReplies };
    const capnp::List<PeerRpc::KindPosition>::Reader positions = request.getPositions();
    capnp::List<PeerRpc::KindNews>::Builder news = reply.initNews(positions.size());
    for (unsigned int i = 0; i < positions.size(); ++i) {
        const PeerRpc::KindPosition::Reader position = positions[i];
        news[i].setKind(position.getKind());
        const std::optional<std::size_t> listed =
                position.hasList() ? std::optional<std::size_t>(position.getList().getCount())
                                   : std::nullopt;
        const StoreRevision revision{ StoreEra(position.getEra()), position.getRevision() };
        news[i].setEra(m_health.era().value());
        const Subscription *subscription = find(position.getKind());
        if (subscription != nullptr && subscription->confirmedAt().has_value()) {
            setAge(news[i], m_loop.now() - *subscription->confirmedAt());
        }
        fillKindNews(news[i], subscription == nullptr
                                      ? std::nullopt
                                      : subscription->log().since(revision, listed, limits));
    }
}

template<TimerLoop Loop, StoreReader Store>
void BasicStoreRelay<Loop, Store>::checkStore()
{
    const MonotonicTime now = m_loop.now();
    static constexpr seconds RecentPollTime{ 3 };
    const bool isPolled = m_lastPolledAt.has_value() && now - *m_lastPolledAt < RecentPollTime;
    const milliseconds period = isPolled ? PolledStoreCheckPeriod : StoreCheckPeriod;
    if (m_health.isUnavailable() || m_isCheckingStore || now - m_storeCheckedAt < period) {
        return;
    }
    m_storeCheckedAt = now;
    m_isCheckingStore = true;
    m_storeCheck =
            m_store.list(Platform::EvacuationKind, "", StoreCheckTimeout, false,
                         [this, now](const Platform::ItemPage &page) {
                             m_isCheckingStore = false;
                             m_health.onEra(page.era);
                             if (page.outcome == Platform::CallOutcome::Done) {
                                 m_health.onSuccess(m_loop.now());
                                 for (Subscription *it : m_subscriptions) {
                                     it->verify(page.revision, now);
                                 }
                                 return;
                             }
                             m_health.onFailure("connection check failed: " + page.reason, now);
                             for (Subscription *it : m_subscriptions) {
                                 it->abortWatch("connection check failed");
                             }
                         });
}

template<TimerLoop Loop, StoreReader Store>
typename BasicStoreRelay<Loop, Store>::Subscription *
BasicStoreRelay<Loop, Store>::find(const std::string &kind) const
{
    const auto it = std::find_if(m_subscriptions.begin(), m_subscriptions.end(),
                                 [&kind](const Subscription *it) { return it->kind() == kind; });
    return it == m_subscriptions.end() ? nullptr : *it;
}

} // namespace Tarragon
