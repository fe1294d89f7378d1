#pragma once

#include "base/Digest.h"
#include "peer/DisseminationMessages.h"
#include "peer/DisseminationOptions.h"
#include "peer/SectionCollector.h"

#include <algorithm>
#include <array>
#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <tuple>
#include <utility>
#include <vector>

namespace Tarragon {

/// Spreads accepted configurations and plans among the entries. Pure: it gets what was heard and
/// the time, and appends what is to be done to "out"; results come back through the on...()
/// methods. Any message or result may be lost, late, doubled or out of order.
///
/// The first-ranked live instances of a failure domain watch the store. Whoever puts a new version
/// into force offers it to its neighbours, and the instance that accepted it also to one instance
/// of each other domain. Heartbeats carry versions and so repair what was missed. Only greater
/// versions are put into force, and a configuration only when all its sections are verified.
template<typename Rules>
class BasicDissemination
{
public:
    BasicDissemination(PeerIdentity self, const DisseminationOptions &options, std::uint64_t seed,
                       MonotonicTime now)
        : m_self(std::move(self))
        , m_options(options)
        , m_random(seed)
        , m_startedAt(now)
        , m_nextBeat(now)
        , m_nextFallback(now + jitter(options.storeRetryMin))
    {}

    /// Takes all instances of the deployment. Those already known keep their state.
    void setPeers(const std::vector<PeerIdentity> &peers)
    {
        std::map<InstanceId, Peer> old;
        old.swap(m_peers);
        m_domains.clear();
        for (const PeerIdentity &peer : peers) {
            if (peer.id == m_self.id)
                continue;
            const auto it = old.find(peer.id);
            Peer &known = m_peers[peer.id];
            if (it != old.end())
                known = it->second;
            known.domain = peer.domain;
            if (peer.domain != m_self.domain)
                m_domains[peer.domain].push_back(peer.id);
        }
        m_domainOrder.clear();
        for (const auto &[domain, members] : m_domains)
            m_domainOrder.push_back(domain);
        std::shuffle(m_domainOrder.begin(), m_domainOrder.end(), m_random);
        m_neighbourOrder.clear();
        for (const auto &[id, peer] : m_peers) {
            if (peer.domain == m_self.domain)
                m_neighbourOrder.push_back(id);
        }
        std::shuffle(m_neighbourOrder.begin(), m_neighbourOrder.end(), m_random);
    }

    /// Does what is due. To be called every 50 to 100 ms.
    void tick(MonotonicTime now, FeedActions &out)
    {
        m_now = now;
        expire();
        if (now >= m_nextBeat) {
            beat(out);
            // After a pause the missed beats are not made up for.
            m_nextBeat = std::max(m_nextBeat + m_options.heartbeatPeriod, now);
        }
        readStore(out);
        fetchFromPeers(out);
    }

    /// A heartbeat, or the answer to one.
    void onReport(const FeedReport &report, MonotonicTime now, FeedActions &out)
    {
        m_now = now;
        const auto it = m_peers.find(report.sender);
        if (it == m_peers.end())
            return;
        Peer &peer = it->second;
        peer.heardAt = now;
        peer.isHeard = true;
        peer.storeReachable = report.storeReachable;
        if (Rules::RepairByHeartbeat)
            note(peer, report.versions);
        fetchFromPeers(out);
    }

    /// An instance tells which versions it has in force.
    void onOffer(const InstanceId &sender, const FeedVersions &versions, MonotonicTime now,
                 FeedActions &out)
    {
        m_now = now;
        const auto it = m_peers.find(sender);
        if (it == m_peers.end())
            return;
        note(it->second, versions);
        fetchFromPeers(out);
    }

    void onItem(std::uint64_t number, const FetchedItem &result, MonotonicTime now,
                FeedActions &out)
    {
        m_now = now;
        Fetch *fetch = find(number);
        if (fetch == nullptr)
            return;
        finishStep(*fetch, result.ok);
        if (result.ok)
            correct(*fetch, result.version);
        if (!result.ok) {
            fail(*fetch);
        } else if (result.version == 0) {
            // A store that ends its watches at once would otherwise be called without a pause.
            if (!fetch->from)
                m_store[index(fetch->item)].retryAt = now + m_options.storeRetryMin;
            end(*fetch);
        } else if (fetch->item == FeedItem::Plan) {
            const PlanVersion version(result.version);
            end(*fetch);
            putPlan(version, result.plan, out);
        } else if (result.head
                   && (result.head->generation > m_head.generation || !Rules::AdoptOnlyGreater)) {
            fetch->collector.emplace(*result.head, m_head, m_texts);
            useGathered(*fetch->collector);
            continueSections(*fetch, out);
        } else {
            end(*fetch);
        }
        readStore(out);
        fetchFromPeers(out);
    }

    void onSection(std::uint64_t number, const SectionName &name,
                   const std::optional<std::string> &text, MonotonicTime now, FeedActions &out)
    {
        m_now = now;
        Fetch *fetch = find(number);
        if (fetch == nullptr || !fetch->collector)
            return;
        if (!text || !add(*fetch, name, *text)) {
            finishStep(*fetch, false);
            fail(*fetch);
        } else {
            finishStep(*fetch, true);
            fetch->requested.erase(name);
            continueSections(*fetch, out);
        }
        readStore(out);
        fetchFromPeers(out);
    }

    /// This instance's own conditional update of the head has succeeded.
    void acceptLocally(const Head &head, const SectionTexts &texts, MonotonicTime now,
                       FeedActions &out)
    {
        m_now = now;
        m_relayToDomains = true;
        putConfiguration(head, texts, out);
        m_relayToDomains = false;
    }

    /// This instance's own conditional update of the plan has succeeded.
    void acceptPlanLocally(PlanVersion version, const std::string &json, MonotonicTime now,
                           FeedActions &out)
    {
        m_now = now;
        m_relayToDomains = true;
        putPlan(version, json, out);
        m_relayToDomains = false;
    }

    FeedVersions versions() const { return { m_head.generation, m_plan }; }
    FeedReport report() const { return { m_self.id, versions(), m_storeReachable }; }
    const Head &head() const { return m_head; }
    const SectionTexts &texts() const { return m_texts; }
    const std::string &planJson() const { return m_planJson; }
    bool isWatcher(MonotonicTime now) const
    {
        const std::vector<InstanceId> ranked = watchers(now);
        return std::find(ranked.begin(), ranked.end(), m_self.id) != ranked.end();
    }

private:
    struct Peer
    {
        FailureDomainId domain;
        bool isHeard = false;
        MonotonicTime heardAt;
        bool storeReachable = false;
        /// Newest versions that it has told.
        FeedVersions versions;
        /// Fetches from it that failed since the last one that succeeded; others are asked first.
        int failures = 0;
        MonotonicTime retryAt;
    };
    struct Fetch
    {
        std::uint64_t number = 0;
        FeedItem item = FeedItem::Configuration;
        std::optional<InstanceId> from;
        MonotonicTime begunAt;
        MonotonicTime deadline;
        /// Set while the sections of a new head are being gathered.
        std::optional<SectionCollector> collector;
        /// Sections that were asked for and have not come yet.
        std::set<SectionName> requested;

        bool isActive() const { return number != 0; }
    };
    using PeerFetches = std::array<Fetch, 2>;
    struct StoreState
    {
        MonotonicTime retryAt;
        microseconds pause{ 0 };
    };

    microseconds jitter(microseconds range)
    {
        return microseconds(std::uniform_int_distribution<std::int64_t>(
                0, std::max<std::int64_t>(range.count(), 1))(m_random));
    }

    bool isLive(const Peer &peer, MonotonicTime now) const
    {
        return peer.isHeard
               && (!Rules::ReplaceWatchers || now - peer.heardAt <= m_options.memberSilence);
    }

    std::uint64_t watcherRank(const InstanceId &id) const
    {
        return stableHash("watcher " + m_self.domain.value() + " " + id.value());
    }

    std::vector<InstanceId> watchers(MonotonicTime now) const
    {
        std::vector<std::pair<std::uint64_t, InstanceId>> ranked{ { watcherRank(m_self.id),
                                                                    m_self.id } };
        for (const InstanceId &id : m_neighbourOrder) {
            if (isLive(m_peers.at(id), now))
                ranked.emplace_back(watcherRank(id), id);
        }
        std::sort(ranked.begin(), ranked.end());
        std::vector<InstanceId> ids;
        for (std::size_t i = 0; i < ranked.size() && i < m_options.watchers; ++i)
            ids.push_back(ranked[i].second);
        return ids;
    }

    void note(Peer &peer, const FeedVersions &versions)
    {
        peer.versions.generation = std::max(peer.versions.generation, versions.generation);
        peer.versions.plan = std::max(peer.versions.plan, versions.plan);
    }

    void beat(FeedActions &out)
    {
        ++m_beats;
        const std::vector<InstanceId> chosen = watchers(m_now);
        const bool isWatching = std::find(chosen.begin(), chosen.end(), m_self.id) != chosen.end();
        std::set<InstanceId> partners;
        if (m_neighbourOrder.size() <= m_options.neighboursPerPeriod) {
            partners.insert(m_neighbourOrder.begin(), m_neighbourOrder.end());
        } else {
            // A watcher in each period, so that its loss is seen in time; the others in turn.
            if (!isWatching)
                partners.insert(chosen[m_beats % chosen.size()]);
            while (partners.size() < m_options.neighboursPerPeriod) {
                partners.insert(m_neighbourOrder[m_nextNeighbour]);
                m_nextNeighbour = (m_nextNeighbour + 1) % m_neighbourOrder.size();
            }
        }
        const bool isNew = m_head.generation == Generation();
        if (Rules::CrossDomains && (isWatching || isNew)) {
            const std::size_t count = std::min(m_options.domainsPerPeriod, m_domainOrder.size());
            for (std::size_t i = 0; i < count; ++i) {
                partners.insert(relayOf(m_domainOrder[m_nextDomain]));
                m_nextDomain = (m_nextDomain + 1) % m_domainOrder.size();
            }
        }
        for (const InstanceId &id : partners)
            out.push_back(SendHeartbeat{ id });
    }

    /// The instance of another domain to talk to: one heard lately, otherwise the next in turn.
    InstanceId relayOf(const FailureDomainId &domain)
    {
        const std::vector<InstanceId> &members = m_domains.at(domain);
        const microseconds patience =
                m_options.heartbeatPeriod
                * static_cast<std::int64_t>(
                        2
                        + m_domainOrder.size()
                                  / std::max<std::size_t>(1, m_options.domainsPerPeriod));
        for (const InstanceId &id : members) {
            const Peer &peer = m_peers.at(id);
            if (peer.isHeard && m_now - peer.heardAt <= patience)
                return id;
        }
        return members[m_beats % members.size()];
    }

    void readStore(FeedActions &out)
    {
        const std::vector<InstanceId> chosen = watchers(m_now);
        const bool isWatching = std::find(chosen.begin(), chosen.end(), m_self.id) != chosen.end();
        if (!isWatching) {
            bool isReached = false;
            for (const InstanceId &id : chosen)
                isReached = isReached || m_peers.at(id).storeReachable;
            const bool isNew = m_head.generation == Generation();
            if ((isReached && !isNew) || !Rules::ReplaceWatchers) {
                m_nextFallback = m_now + fallbackPause();
                return;
            }
            if (m_now < m_nextFallback)
                return;
            m_nextFallback = m_now + fallbackPause();
        }
        for (Fetch &fetch : m_storeFetches) {
            const FeedItem item =
                    &fetch == m_storeFetches.data() ? FeedItem::Configuration : FeedItem::Plan;
            if (fetch.isActive() || m_now < m_store[index(item)].retryAt)
                continue;
            // A watch is only begun when the store is known to answer, so that a failure shows
            // soon.
            const milliseconds wait =
                    isWatching && m_storeReachable ? m_options.watchWait : milliseconds(0);
            begin(fetch, item, std::nullopt, out, wait);
        }
    }

    /// Spreads the reads of the domain's instances evenly on average.
    microseconds fallbackPause()
    {
        const microseconds mean =
                m_options.fallbackPeriod
                * static_cast<std::int64_t>(std::max<std::size_t>(1, m_neighbourOrder.size()));
        return mean / 2 + jitter(mean);
    }

    void fetchFromPeers(FeedActions &out)
    {
        for (const FeedItem item : { FeedItem::Configuration, FeedItem::Plan }) {
            if (own(item) == 0 && m_now - m_startedAt < m_options.startWindow)
                continue;
            PeerFetches &fetches = m_peerFetches[index(item)];
            if (!fetches[0].isActive()) {
                fetchFromBest(fetches[0], fetches[1], item, out);
                // A second source is asked when the first one is slow.
            } else if (!fetches[1].isActive()
                       && m_now - fetches[0].begunAt >= m_options.peerHedge) {
                fetchFromBest(fetches[1], fetches[0], item, out);
            }
        }
    }

    void fetchFromBest(Fetch &fetch, const Fetch &other, FeedItem item, FeedActions &out)
    {
        const InstanceId *best = nullptr;
        const Peer *bestPeer = nullptr;
        for (const auto &[id, peer] : m_peers) {
            if (told(peer, item) <= own(item) || m_now < peer.retryAt)
                continue;
            if (other.isActive() && other.from == id)
                continue;
            if (bestPeer == nullptr || preference(peer, item) > preference(*bestPeer, item)) {
                best = &id;
                bestPeer = &peer;
            }
        }
        if (best != nullptr)
            begin(fetch, item, *best, out, milliseconds(0));
    }

    /// The one with the fewest failures first, then the greatest version and the own domain.
    std::tuple<int, std::uint64_t, bool> preference(const Peer &peer, FeedItem item) const
    {
        return { -peer.failures, told(peer, item), peer.domain == m_self.domain };
    }

    static std::size_t index(FeedItem item) { return item == FeedItem::Configuration ? 0 : 1; }
    static std::uint64_t told(const Peer &peer, FeedItem item)
    {
        return item == FeedItem::Configuration ? peer.versions.generation.value()
                                               : peer.versions.plan.value();
    }
    std::uint64_t own(FeedItem item) const
    {
        return item == FeedItem::Configuration ? m_head.generation.value() : m_plan.value();
    }

    void begin(Fetch &fetch, FeedItem item, const std::optional<InstanceId> &from, FeedActions &out,
               milliseconds wait)
    {
        fetch = Fetch();
        fetch.number = ++m_lastNumber;
        fetch.item = item;
        fetch.from = from;
        fetch.begunAt = m_now;
        fetch.deadline = m_now + (from ? m_options.peerTimeout : m_options.storeTimeout) + wait;
        out.push_back(FetchItem{ fetch.number, from, item, own(item), wait });
    }

    Fetch *find(std::uint64_t number)
    {
        for (PeerFetches &fetches : m_peerFetches) {
            for (Fetch &fetch : fetches) {
                if (fetch.isActive() && fetch.number == number)
                    return &fetch;
            }
        }
        for (Fetch &fetch : m_storeFetches) {
            if (fetch.isActive() && fetch.number == number)
                return &fetch;
        }
        return nullptr;
    }

    /// A peer that has restarted may have less than its predecessor told; it is not asked again
    /// until it tells more.
    void correct(const Fetch &fetch, std::uint64_t version)
    {
        const auto it = fetch.from ? m_peers.find(*fetch.from) : m_peers.end();
        if (it == m_peers.end())
            return;
        it->second.failures = 0;
        if (fetch.item == FeedItem::Configuration) {
            it->second.versions.generation = Generation(version);
        } else {
            it->second.versions.plan = PlanVersion(version);
        }
    }

    bool add(Fetch &fetch, const SectionName &name, const std::string &text)
    {
        if constexpr (Rules::VerifyDigests) {
            if (!fetch.collector->add(name, text))
                return false;
        } else {
            fetch.collector->addUnverified(name, text);
        }
        m_gathered[fetch.collector->head().sections.at(name).digest] = text;
        return true;
    }

    /// Takes over what earlier fetches have got, so that a lost answer costs one section only.
    void useGathered(SectionCollector &collector)
    {
        std::map<std::string, std::string> used;
        for (const SectionName &name : collector.missing()) {
            const auto it = m_gathered.find(collector.head().sections.at(name).digest);
            if (it != m_gathered.end() && collector.add(name, it->second))
                used.insert(*it);
        }
        m_gathered = std::move(used);
    }

    void continueSections(Fetch &fetch, FeedActions &out)
    {
        if (fetch.collector->isComplete()) {
            const SectionCollector collector = std::move(*fetch.collector);
            end(fetch);
            putConfiguration(collector.head(), collector.texts(), out);
            return;
        }
        fetch.deadline = m_now + (fetch.from ? m_options.peerTimeout : m_options.storeTimeout);
        for (const SectionName &name : fetch.collector->missing()) {
            if (fetch.requested.size() >= m_options.sectionsInFlight)
                return;
            if (fetch.requested.insert(name).second) {
                out.push_back(FetchSection{ fetch.number, fetch.from, name,
                                            fetch.collector->head().sections.at(name).digest });
            }
        }
    }

    void finishStep(const Fetch &fetch, bool ok)
    {
        if (fetch.from)
            return;
        m_storeReachable = ok;
        if (ok)
            m_store[index(fetch.item)].pause = microseconds(0);
    }

    void fail(Fetch &fetch)
    {
        if (fetch.from) {
            const auto it = m_peers.find(*fetch.from);
            if (it != m_peers.end()) {
                ++it->second.failures;
                it->second.retryAt = m_now + m_options.peerRetry;
            }
        } else {
            m_storeReachable = false;
            StoreState &store = m_store[index(fetch.item)];
            store.pause =
                    std::clamp(store.pause * 2, m_options.storeRetryMin, m_options.storeRetryMax);
            store.retryAt = m_now + store.pause / 2 + jitter(store.pause / 2);
        }
        end(fetch);
    }

    static void end(Fetch &fetch) { fetch = Fetch(); }

    void expire()
    {
        for (PeerFetches &fetches : m_peerFetches) {
            for (Fetch &fetch : fetches) {
                if (fetch.isActive() && m_now >= fetch.deadline)
                    fail(fetch);
            }
        }
        for (Fetch &fetch : m_storeFetches) {
            if (fetch.isActive() && m_now >= fetch.deadline)
                fail(fetch);
        }
    }

    void putConfiguration(const Head &head, const SectionTexts &texts, FeedActions &out)
    {
        if (Rules::AdoptOnlyGreater && head.generation <= m_head.generation)
            return;
        m_head = head;
        m_texts = texts;
        m_gathered.clear();
        out.push_back(AdoptConfiguration{ head, texts });
        offer(out);
    }

    void putPlan(PlanVersion version, const std::string &json, FeedActions &out)
    {
        if (Rules::AdoptOnlyGreater && version <= m_plan)
            return;
        m_plan = version;
        m_planJson = json;
        out.push_back(AdoptPlan{ version, json });
        offer(out);
    }

    /// Tells the neighbours that are not known to have these versions.
    void offer(FeedActions &out)
    {
        for (const InstanceId &id : m_neighbourOrder) {
            const Peer &peer = m_peers.at(id);
            if (peer.versions.generation < m_head.generation || peer.versions.plan < m_plan)
                out.push_back(SendOffer{ id, versions() });
        }
        if (!m_relayToDomains || !Rules::CrossDomains)
            return;
        for (const FailureDomainId &domain : m_domainOrder)
            out.push_back(SendOffer{ relayOf(domain), versions() });
    }

    PeerIdentity m_self;
    DisseminationOptions m_options;
    std::mt19937_64 m_random;
    MonotonicTime m_startedAt;
    MonotonicTime m_now;
    MonotonicTime m_nextBeat;
    MonotonicTime m_nextFallback;
    std::uint64_t m_beats = 0;
    std::map<InstanceId, Peer> m_peers;
    std::vector<InstanceId> m_neighbourOrder;
    std::size_t m_nextNeighbour = 0;
    std::map<FailureDomainId, std::vector<InstanceId>> m_domains;
    std::vector<FailureDomainId> m_domainOrder;
    std::size_t m_nextDomain = 0;
    bool m_relayToDomains = false;
    bool m_storeReachable = false;
    std::array<StoreState, 2> m_store;
    std::array<Fetch, 2> m_storeFetches;
    std::array<PeerFetches, 2> m_peerFetches;
    std::uint64_t m_lastNumber = 0;
    Head m_head;
    SectionTexts m_texts;
    /// Verified texts by digest, of sets that are not complete yet.
    std::map<std::string, std::string> m_gathered;
    PlanVersion m_plan;
    std::string m_planJson;
};

using Dissemination = BasicDissemination<DisseminationRules>;

} // namespace Tarragon
