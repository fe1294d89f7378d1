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

/// Entries of a failure domain that watch the store: one may fail without anyone noticing.
constexpr std::size_t Watchers = 2;
/// Smallest failure domain in which changes are relayed; in smaller ones nearly all watch anyway.
constexpr std::size_t LeastDomainSize = 4;
/// Pause between questions. With the watchers' own pause of 0.5 s it keeps what is told to a
/// second, of at least 2.5 s that the platform allows.
constexpr milliseconds RoundPeriod{ 500 };
/// Entries of one failure domain answer in a few milliseconds unless they are overloaded.
constexpr milliseconds AnswerTimeout{ 400 };
/// Time without an answer after which an entry watches the store itself. Two lost answers.
constexpr milliseconds Silence{ 1'200 };
/// The same while all entries start for the first time, and the time for which that counts. All
/// targets register then, so that watchers answer late; callers come after eight seconds.
constexpr milliseconds FirstSilence{ 3'000 };
constexpr milliseconds FirstSettleTime{ 7'000 };
/// Time for which a watcher that did not answer is not asked while another one is.
constexpr milliseconds FailureMemory{ 2'000 };
/// Answers in a row after which an entry that watches the store relies on watchers again.
constexpr int AnswersToTrust = 3;
/// Time to hear from a watcher after a start.
constexpr milliseconds DecisionTime{ 700 };
/// The same at the first start of all entries. Their records are known after about two seconds, as
/// lists of them are stale and changes come in batches of a second; callers come after eight.
constexpr milliseconds FirstDecisionTime{ 5'000 };
/// Time from the first start of all entries until the watchers begin.
constexpr milliseconds FirstWatchTime{ 2'500 };
/// News of a kind in one answer. Forty neighbours that are behind take 8 Mbit/s of each of two
/// watchers so; with 64 KiB they filled links of 20 Mbit/s, and answers came too late to be used.
constexpr std::size_t MaxNewsBytes = 24'576;
/// Answers in which a neighbour catches up, 1.5 s; and while all targets register at the first
/// start, when a neighbour that is eight seconds behind makes no caller late.
constexpr std::size_t MaxAnswers = 3;
constexpr std::size_t FirstMaxAnswers = 16;
/// A watcher whose way to the store is cut makes its neighbours late, so that it looks more often
/// than a silent watch would show; the calls are those that cost least. An entry that nobody asks
/// looks once for each watch that it begins.
constexpr milliseconds PathCheckPeriod{ 1'000 };
constexpr milliseconds PathCheckTimeout{ 800 };

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

void fillNews(PeerRpc::KindNews::Builder builder, const std::optional<ChangeNews> &news)
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

/// Throws if a spec cannot be read.
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

StoreRelay::StoreRelay(EventLoop &loop, EntryRoster &roster, StoreHealth &health,
                       Platform::ObjectStore &store, RosterExchange &exchange, bool isFirstStart)
    : m_loop(loop)
    , m_roster(roster)
    , m_health(health)
    , m_store(store)
    , m_exchange(exchange)
    , m_watchFrom(loop.now() + (isFirstStart ? FirstWatchTime : milliseconds(0)))
    , m_decideBy(loop.now() + (isFirstStart ? FirstDecisionTime : DecisionTime))
    , m_settledBy(loop.now() + (isFirstStart ? FirstSettleTime : milliseconds(0)))
{}

void StoreRelay::add(KindFollower &follower)
{
    m_followers.push_back(&follower);
    follower.setSource(m_source);
}

void StoreRelay::start()
{
    if (!m_timer.isActive()) {
        m_timer = m_loop.scheduleEvery(RoundPeriod, [this] { round(); });
        round();
    }
}

void StoreRelay::round()
{
    const MonotonicTime now = m_loop.now();
    const std::vector<InstanceId> watchers = m_roster.watchers(Watchers, now);
    const bool isWatcher =
            std::find(watchers.begin(), watchers.end(), m_roster.self().instance) != watchers.end();
    if (m_roster.domainSize() < LeastDomainSize || isWatcher) {
        if (now >= m_watchFrom) {
            setSource(ChangeSource::Store);
            checkPath();
        }
        return;
    }
    const milliseconds silence = now < m_settledBy ? FirstSilence : Silence;
    const bool isHeard = m_heardAt.has_value() && now - *m_heardAt <= silence;
    if (!isHeard && (m_source != ChangeSource::Undecided || now >= m_decideBy)) {
        m_answers = 0;
        setSource(ChangeSource::Store);
    }
    if (m_source == ChangeSource::Store) {
        checkPath();
    }
    ask(watchers);
}

void StoreRelay::ask(const std::vector<InstanceId> &watchers)
{
    const MonotonicTime now = m_loop.now();
    if (watchers.empty()) {
        return;
    }
    std::vector<InstanceId> asked;
    std::copy_if(watchers.begin(), watchers.end(), std::back_inserter(asked),
                 [this, now](const InstanceId &it) {
                     const auto failed = m_failedAt.find(it);
                     // Entries that start together answer a little later.
                     return m_source == ChangeSource::Undecided || failed == m_failedAt.end()
                            || now - failed->second > FailureMemory;
                 });
    if (asked.empty()) {
        // One of them may be back sooner than the store would tell.
        asked = watchers;
    }
    const InstanceId watcher = asked[m_turn++ % asked.size()];
    PeerClient *client = m_exchange.client(watcher);
    if (client == nullptr) {
        return;
    }
    std::vector<const KindFollower *> listed;
    std::copy_if(m_followers.begin(), m_followers.end(), std::back_inserter(listed),
                 [](const KindFollower *it) { return it->isListed(); });
    client->call(
            &PeerRpc::Peer::Client::relayRequest, AnswerTimeout,
            [&listed](PeerRpc::Peer::RelayParams::Builder params) {
                capnp::List<PeerRpc::KindPosition>::Builder positions =
                        params.initPositions(static_cast<unsigned int>(listed.size()));
                for (unsigned int i = 0; i < positions.size(); ++i) {
                    positions[i].setKind(listed[i]->kind());
                    positions[i].setRevision(listed[i]->revision());
                    if (const std::optional<ListedState> list = listed[i]->unchangedList()) {
                        positions[i].initList().setCount(list->count);
                    }
                }
            },
            [this, watcher](PeerOutcome outcome,
                            const PeerRpc::Peer::RelayResults::Reader *results) {
                onAnswer(watcher, outcome == PeerOutcome::Done ? results : nullptr);
            });
}

void StoreRelay::onAnswer(const InstanceId &watcher,
                          const PeerRpc::Peer::RelayResults::Reader *answer)
{
    const MonotonicTime now = m_loop.now();
    if (answer == nullptr || !answer->getWatching()) {
        m_failedAt[watcher] = now;
        return;
    }
    const microseconds sinceReturn = milliseconds(static_cast<std::int64_t>(
            std::min<std::uint64_t>(answer->getSinceStoreReturnMs(), 1'000'000'000)));
    static constexpr seconds OutageMemory{ 3 };
    if (sinceReturn < OutageMemory) {
        // Objects that vanish shortly after an outage may only have lapsed during it.
        m_health.onOutageSeen(now - sinceReturn);
    }
    if (m_source == ChangeSource::Undecided
        || (m_source == ChangeSource::Store && m_answers + 1 >= AnswersToTrust)) {
        setSource(ChangeSource::Neighbours);
    }
    for (const PeerRpc::KindNews::Reader it : answer->getNews()) {
        takeNews(it);
    }
    // An answer that cannot be read has thrown, and counts as none.
    m_failedAt.erase(watcher);
    m_heardAt = now;
    ++m_answers;
}

void StoreRelay::takeNews(PeerRpc::KindNews::Reader news)
{
    KindFollower *follower = find(news.getKind());
    if (follower == nullptr) {
        return;
    }
    const bool isComplete = news.getCoverage() == PeerRpc::NewsCoverage::COMPLETE;
    if (!isComplete && news.getCoverage() != PeerRpc::NewsCoverage::PARTIAL) {
        LOG4CPLUS_INFO(logger(), LogLine("store", "news-missing")
                                         .add("kind", follower->kind())
                                         .add("revision", follower->revision())
                                         .text());
        follower->readOnce();
        return;
    }
    try {
        follower->takeNews(pageOf(news), isComplete);
    } catch (const std::exception &error) {
        LOG4CPLUS_WARN(logger(), LogLine("store", "news-refused")
                                         .add("kind", follower->kind())
                                         .add("reason", error.what())
                                         .text());
        follower->readOnce();
    }
}

void StoreRelay::setSource(ChangeSource source)
{
    if (source == m_source) {
        return;
    }
    m_source = source;
    for (KindFollower *it : m_followers) {
        it->setSource(source);
    }
    LOG4CPLUS_INFO(logger(),
                   LogLine("store", "change-source").add("source", toString(source)).text());
}

bool StoreRelay::isWatching() const
{
    return m_source == ChangeSource::Store && !m_health.isLost()
           && std::all_of(m_followers.begin(), m_followers.end(),
                          [](const KindFollower *it) { return it->hasSnapshot(); });
}

void StoreRelay::answer(PeerRpc::Peer::RelayParams::Reader question,
                        PeerRpc::Peer::RelayResults::Builder answer)
{
    m_askedAt = m_loop.now();
    answer.setSinceStoreReturnMs(std::numeric_limits<std::uint64_t>::max());
    answer.setWatching(isWatching());
    if (!isWatching()) {
        return;
    }
    if (m_health.regainedAt().has_value()) {
        const microseconds since = m_loop.now() - *m_health.regainedAt();
        answer.setSinceStoreReturnMs(static_cast<std::uint64_t>(
                std::chrono::duration_cast<milliseconds>(since).count()));
    }
    const NewsLimits limits{ MaxNewsBytes,
                             m_loop.now() < m_settledBy ? FirstMaxAnswers : MaxAnswers };
    const capnp::List<PeerRpc::KindPosition>::Reader positions = question.getPositions();
    capnp::List<PeerRpc::KindNews>::Builder news = answer.initNews(positions.size());
    for (unsigned int i = 0; i < positions.size(); ++i) {
        const PeerRpc::KindPosition::Reader position = positions[i];
        news[i].setKind(position.getKind());
        const std::optional<std::size_t> listed =
                position.hasList() ? std::optional<std::size_t>(position.getList().getCount())
                                   : std::nullopt;
        const KindFollower *follower = find(position.getKind());
        fillNews(news[i], follower == nullptr
                                  ? std::nullopt
                                  : follower->log().since(position.getRevision(), listed, limits));
    }
}

void StoreRelay::checkPath()
{
    const MonotonicTime now = m_loop.now();
    static constexpr seconds NeighbourMemory{ 3 };
    const bool isAsked = m_askedAt.has_value() && now - *m_askedAt < NeighbourMemory;
    // A store that is silent for a moment does not take the watches that are begun then.
    const bool hasNewWatch =
            std::any_of(m_followers.begin(), m_followers.end(), [this](const KindFollower *it) {
                return it->watchBegan() > m_pathCheckedAt;
            });
    if ((!isAsked && !hasNewWatch) || m_health.isLost()
        || now - m_pathCheckedAt < PathCheckPeriod) {
        return;
    }
    m_pathCheckedAt = now;
    m_pathCheck = m_store.list(Platform::EvacuationKind, "", PathCheckTimeout, true,
                               [this, now](const Platform::ItemPage &page) {
                                   if (page.outcome == Platform::CallOutcome::Done) {
                                       m_health.onSuccess(m_loop.now());
                                       return;
                                   }
                                   m_health.onFailure("path check: " + page.reason, now);
                                   for (KindFollower *it : m_followers) {
                                       it->breakWatch("path check failed");
                                   }
                               });
}

KindFollower *StoreRelay::find(const std::string &kind) const
{
    const auto it = std::find_if(m_followers.begin(), m_followers.end(),
                                 [&kind](const KindFollower *it) { return it->kind() == kind; });
    return it == m_followers.end() ? nullptr : *it;
}

} // namespace Tarragon
