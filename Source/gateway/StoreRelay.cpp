#include "gateway/StoreRelay.h"

#include "net/LogLine.h"
#include "platform/RegistryDecoder.h"

#include <log4cplus/logger.h>
#include <log4cplus/loggingmacros.h>

#include <algorithm>
#include <limits>
#include <utility>

namespace Tarragon {

namespace {

/// Entries of a failure domain that watch the store. Two, so that one of them may fail without
/// delaying the others.
constexpr std::size_t WatchersPerDomain = 2;
/// Minimum number of entries in a failure domain for changes to be relayed; in smaller domains
/// nearly all entries would be watchers anyway.
constexpr std::size_t MinRelayDomainSize = 4;
/// Period of polling a watcher. Together with the watchers' own pause of 0.5 s it keeps relayed
/// changes at most one second old, of the at least 2.5 s that the platform allows.
constexpr milliseconds PollPeriod{ 500 };
/// Time within which a watcher must reply. Entries of one failure domain reply in a few
/// milliseconds unless they are overloaded.
constexpr milliseconds ReplyTimeout{ 400 };
/// Time without a reply after which an entry watches the store itself; corresponds to two lost
/// replies.
constexpr milliseconds WatcherTimeout{ 1'200 };
/// The same timeout during the first start of all entries, and the duration of that start. All
/// targets register during it, so that watchers reply late; callers arrive only after eight
/// seconds.
constexpr milliseconds FirstStartWatcherTimeout{ 3'000 };
constexpr milliseconds FirstStartDuration{ 7'000 };
/// Time for which a watcher that did not reply is not polled while another one is available.
constexpr milliseconds FailedWatcherDelay{ 2'000 };
/// Replies after which an entry that watches the store relies on the watchers again.
constexpr int RepliesBeforeRelay = 3;
/// Time after a start within which a watcher must reply; afterwards the entry watches the store
/// itself.
constexpr milliseconds DecisionTimeout{ 700 };
/// The same timeout at the first start of all entries. The registrations of the entries are known
/// after about two seconds, as lists of them may be stale and their changes are batched for one
/// second; callers arrive after eight seconds.
constexpr milliseconds FirstStartDecisionTimeout{ 5'000 };
/// Delay after the first start of all entries before watchers start their watches.
constexpr milliseconds FirstStartWatchDelay{ 2'500 };
/// Maximum bytes of changes of a kind in one reply. At this size, 40 neighbours that catch up at
/// the same time use 8 Mbit/s of the link of each of the two watchers. 64 KiB filled links of 20
/// Mbit/s, and the replies arrived too late to be used.
constexpr std::size_t MaxReplyBytes = 24'576;
/// Maximum number of replies in which a neighbour catches up; three replies take 1.5 s. The higher
/// limit applies while all targets register during the first start, when a neighbour that is eight
/// seconds behind does not delay any caller.
constexpr std::size_t MaxReplies = 3;
constexpr std::size_t FirstStartMaxReplies = 16;
/// Period and timeout of the call that checks the connection to the store. A watcher whose
/// connection is interrupted delays all of its neighbours, and a waiting watch would show the
/// interruption too late. The call used is the cheapest one. An entry that is not polled by
/// neighbours checks once for each watch that it starts.
constexpr milliseconds StoreCheckPeriod{ 1'000 };
constexpr milliseconds StoreCheckTimeout{ 800 };

const log4cplus::Logger &logger()
{
    static const log4cplus::Logger instance = log4cplus::Logger::getInstance("store");
    return instance;
}

std::string_view toString(ChangeSource source)
{
    switch (source) {
    case ChangeSource::Undecided:
        return "undecided";
    case ChangeSource::Store:
        return "store";
    case ChangeSource::Neighbours:
        return "neighbours";
    }
    return "";
}

void fillKindNews(PeerRpc::KindNews::Builder builder, const std::optional<ChangeDelta> &news)
{
    if (!news.has_value()) {
        builder.setCoverage(PeerRpc::NewsCoverage::READ_STORE);
        return;
    }
    builder.setCoverage(news->isComplete ? PeerRpc::NewsCoverage::COMPLETE
                                         : PeerRpc::NewsCoverage::PARTIAL);
    builder.setRevision(news->revision);
    capnp::List<PeerRpc::StoredChange>::Builder list =
            builder.initChanges(static_cast<unsigned int>(news->changes.size()));
    for (unsigned int i = 0; i < list.size(); ++i) {
        const LoggedChange &change = *news->changes[i];
        list[i].setName(change.name);
        list[i].setRevision(change.revision);
        list[i].setRemoved(change.isRemoval);
        list[i].setSpec(change.spec);
    }
}

/// Converts relayed changes to a watch result. Throws if a specification is not valid JSON.
Platform::ChangePage pageOf(PeerRpc::KindNews::Reader news)
{
    Platform::ChangePage page;
    page.outcome = Platform::CallOutcome::Done;
    page.revision = news.getRevision();
    for (const PeerRpc::StoredChange::Reader it : news.getChanges()) {
        Platform::StoredChange change;
        change.item.name = it.getName();
        change.item.revision = it.getRevision();
        change.isRemoval = it.getRemoved();
        if (!change.isRemoval) {
            const capnp::Text::Reader spec = it.getSpec();
            change.item.spec = nlohmann::json::parse(spec.begin(), spec.end());
        }
        page.changes.push_back(std::move(change));
    }
    return page;
}

} // namespace

StoreRelay::StoreRelay(EventLoop &loop, EntryMembership &membership, StoreHealth &health,
                       Platform::ObjectStore &store, MembershipGossip &gossip, bool isFirstStart)
    : m_loop(loop)
    , m_membership(membership)
    , m_health(health)
    , m_store(store)
    , m_gossip(gossip)
    , m_earliestWatchAt(loop.now() + (isFirstStart ? FirstStartWatchDelay : milliseconds(0)))
    , m_decisionDeadline(loop.now() + (isFirstStart ? FirstStartDecisionTimeout : DecisionTimeout))
    , m_firstStartEndsAt(loop.now() + (isFirstStart ? FirstStartDuration : milliseconds(0)))
{}

void StoreRelay::add(KindSubscription &subscription)
{
    m_subscriptions.push_back(&subscription);
    subscription.setSource(m_source);
}

void StoreRelay::start()
{
    if (!m_timer.isActive()) {
        m_timer = m_loop.scheduleEvery(PollPeriod, [this] { poll(); });
        poll();
    }
}

void StoreRelay::poll()
{
    const MonotonicTime now = m_loop.now();
    const std::vector<InstanceId> watchers = m_membership.watchers(WatchersPerDomain, now);
    const bool isWatcher =
            std::find(watchers.begin(), watchers.end(), m_membership.localEntry().instance)
            != watchers.end();
    if (m_membership.domainEntryCount() < MinRelayDomainSize || isWatcher) {
        if (now >= m_earliestWatchAt) {
            setSource(ChangeSource::Store);
            checkStore();
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
    if (m_source == ChangeSource::Store) {
        checkStore();
    }
    pollWatcher(watchers);
}

void StoreRelay::pollWatcher(const std::vector<InstanceId> &watchers)
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
    PeerClient *client = m_gossip.client(watcher);
    if (client == nullptr) {
        return;
    }
    std::vector<const KindSubscription *> listed;
    std::copy_if(m_subscriptions.begin(), m_subscriptions.end(), std::back_inserter(listed),
                 [](const KindSubscription *it) { return it->isListed(); });
    client->call(
            &PeerRpc::Peer::Client::relayRequest, ReplyTimeout,
            [&listed](PeerRpc::Peer::RelayParams::Builder params) {
                capnp::List<PeerRpc::KindPosition>::Builder positions =
                        params.initPositions(static_cast<unsigned int>(listed.size()));
                for (unsigned int i = 0; i < positions.size(); ++i) {
                    positions[i].setKind(listed[i]->kind());
                    positions[i].setRevision(listed[i]->revision());
                    if (const std::optional<ListSummary> list = listed[i]->unchangedList()) {
                        positions[i].initList().setCount(list->count);
                    }
                }
            },
            [this, watcher](PeerOutcome outcome,
                            const PeerRpc::Peer::RelayResults::Reader *results) {
                onReply(watcher, outcome == PeerOutcome::Done ? results : nullptr);
            });
}

void StoreRelay::onReply(const InstanceId &watcher,
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

void StoreRelay::applyRelayedChanges(PeerRpc::KindNews::Reader news)
{
    KindSubscription *subscription = find(news.getKind());
    if (subscription == nullptr) {
        return;
    }
    const bool isComplete = news.getCoverage() == PeerRpc::NewsCoverage::COMPLETE;
    if (!isComplete && news.getCoverage() != PeerRpc::NewsCoverage::PARTIAL) {
        LOG4CPLUS_INFO(logger(), LogLine("store", "news-missing")
                                         .add("kind", subscription->kind())
                                         .add("revision", subscription->revision())
                                         .text());
        subscription->readStoreOnce();
        return;
    }
    try {
        subscription->applyRelayedChanges(pageOf(news), isComplete);
    } catch (const std::exception &error) {
        LOG4CPLUS_WARN(logger(), LogLine("store", "news-refused")
                                         .add("kind", subscription->kind())
                                         .add("reason", error.what())
                                         .text());
        subscription->readStoreOnce();
    }
}

void StoreRelay::setSource(ChangeSource source)
{
    if (source == m_source) {
        return;
    }
    m_source = source;
    for (KindSubscription *it : m_subscriptions) {
        it->setSource(source);
    }
    LOG4CPLUS_INFO(logger(),
                   LogLine("store", "change-source").add("source", toString(source)).text());
}

bool StoreRelay::isWatching() const
{
    return m_source == ChangeSource::Store && !m_health.isUnavailable()
           && std::all_of(m_subscriptions.begin(), m_subscriptions.end(),
                          [](const KindSubscription *it) { return it->hasSnapshot(); });
}

void StoreRelay::fillReply(PeerRpc::Peer::RelayParams::Reader request,
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
        const KindSubscription *subscription = find(position.getKind());
        fillKindNews(news[i],
                     subscription == nullptr
                             ? std::nullopt
                             : subscription->log().since(position.getRevision(), listed, limits));
    }
}

void StoreRelay::checkStore()
{
    const MonotonicTime now = m_loop.now();
    static constexpr seconds RecentPollTime{ 3 };
    const bool isPolled = m_lastPolledAt.has_value() && now - *m_lastPolledAt < RecentPollTime;
    // A store that stops responding for a moment loses the watches that are started during it.
    const bool hasNewWatch = std::any_of(
            m_subscriptions.begin(), m_subscriptions.end(),
            [this](const KindSubscription *it) { return it->watchStartedAt() > m_storeCheckedAt; });
    if ((!isPolled && !hasNewWatch) || m_health.isUnavailable()
        || now - m_storeCheckedAt < StoreCheckPeriod) {
        return;
    }
    m_storeCheckedAt = now;
    m_storeCheck =
            m_store.list(Platform::EvacuationKind, "", StoreCheckTimeout, true,
                         [this, now](const Platform::ItemPage &page) {
                             if (page.outcome == Platform::CallOutcome::Done) {
                                 m_health.onSuccess(m_loop.now());
                                 return;
                             }
                             m_health.onFailure("connection check failed: " + page.reason, now);
                             for (KindSubscription *it : m_subscriptions) {
                                 it->abortWatch("connection check failed");
                             }
                         });
}

KindSubscription *StoreRelay::find(const std::string &kind) const
{
    const auto it =
            std::find_if(m_subscriptions.begin(), m_subscriptions.end(),
                         [&kind](const KindSubscription *it) { return it->kind() == kind; });
    return it == m_subscriptions.end() ? nullptr : *it;
}

} // namespace Tarragon
