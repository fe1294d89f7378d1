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

/// Decides how accepted configurations and plans spread among the entries. Performs no I/O and
/// reads no clock: each method receives the time and appends the actions to take to "out", and the
/// caller passes messages and results of actions to the on...() methods. Messages and results may
/// be lost, delayed, duplicated or reordered.
///
/// The first-ranked live instances of a failure domain watch the store. An instance that puts a new
/// version into force offers it to its neighbours; the instance that accepted the version also
/// offers it to one instance of each other domain. Heartbeats carry the versions in force, so a
/// lost offer only delays an update. A version is put into force only if it is higher than the
/// present one, and a configuration only once the digests of all its sections are verified.
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
        , m_nextHeartbeatAt(now)
        , m_nextFallbackReadAt(now + jitter(options.minStoreBackoff))
    {}

    /// Replaces the list of all instances of the deployment, which may include this one. Peers that
    /// were in the previous list keep their state.
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

    /// Expires fetches, sends heartbeats that are due and begins fetches. To be called every 50 to
    /// 100 ms.
    void tick(MonotonicTime now, FeedActions &out)
    {
        m_now = now;
        expireFetches();
        if (now >= m_nextHeartbeatAt) {
            sendHeartbeats(out);
            // Heartbeats missed while the process was stopped are not sent later.
            m_nextHeartbeatAt = std::max(m_nextHeartbeatAt + m_options.heartbeatPeriod, now);
        }
        readStore(out);
        fetchFromPeers(out);
    }

    /// Records the state that a peer sent in a heartbeat or in the reply to one.
    void onReport(const FeedReport &report, MonotonicTime now, FeedActions &out)
    {
        m_now = now;
        const auto it = m_peers.find(report.sender);
        if (it == m_peers.end())
            return;
        Peer &peer = it->second;
        peer.lastHeartbeatAt = now;
        peer.hasSentHeartbeat = true;
        peer.storeReachable = report.storeReachable;
        if (Rules::RepairByHeartbeat)
            mergeVersions(peer, report.versions);
        fetchFromPeers(out);
    }

    /// Records the versions that a peer has offered and fetches the higher ones.
    void onOffer(const InstanceId &sender, const FeedVersions &versions, MonotonicTime now,
                 FeedActions &out)
    {
        m_now = now;
        const auto it = m_peers.find(sender);
        if (it == m_peers.end())
            return;
        mergeVersions(it->second, versions);
        fetchFromPeers(out);
    }

    /// Continues the fetch of that number with the result of its FetchItem. Results of fetches that
    /// have ended are ignored.
    void onItem(std::uint64_t number, const FetchedItem &result, MonotonicTime now,
                FeedActions &out)
    {
        m_now = now;
        Fetch *fetch = find(number);
        if (fetch == nullptr)
            return;
        recordStoreResult(*fetch, result.ok);
        if (result.ok)
            setPeerVersion(*fetch, result.version);
        if (!result.ok) {
            fail(*fetch);
        } else if (result.version == 0) {
            // Limits the call rate if the store ends each watch at once.
            if (!fetch->from)
                m_store[index(fetch->item)].retryAt = now + m_options.minStoreBackoff;
            end(*fetch);
        } else if (fetch->item == FeedItem::Plan) {
            const PlanVersion version(result.version);
            end(*fetch);
            adoptPlan(version, result.plan, out);
        } else if (result.head
                   && (result.head->generation > m_head.generation || !Rules::AdoptOnlyGreater)) {
            fetch->collector.emplace(*result.head, m_head, m_texts);
            reuseReceivedTexts(*fetch->collector);
            continueSections(*fetch, out);
        } else {
            end(*fetch);
        }
        readStore(out);
        fetchFromPeers(out);
    }

    /// Continues the fetch of that number with the text of a section, or nullopt if the section
    /// could not be fetched.
    void onSection(std::uint64_t number, const SectionName &name,
                   const std::optional<std::string> &text, MonotonicTime now, FeedActions &out)
    {
        m_now = now;
        Fetch *fetch = find(number);
        if (fetch == nullptr || !fetch->collector)
            return;
        if (!text || !add(*fetch, name, *text)) {
            recordStoreResult(*fetch, false);
            fail(*fetch);
        } else {
            recordStoreResult(*fetch, true);
            fetch->requested.erase(name);
            continueSections(*fetch, out);
        }
        readStore(out);
        fetchFromPeers(out);
    }

    /// Puts a configuration into force after this instance's conditional update of the head in the
    /// store has succeeded, and offers it to the neighbours and to the other domains.
    void acceptLocally(const Head &head, const SectionTexts &texts, MonotonicTime now,
                       FeedActions &out)
    {
        m_now = now;
        m_offersToOtherDomains = true;
        adoptConfiguration(head, texts, out);
        m_offersToOtherDomains = false;
    }

    /// Puts a plan into force after this instance's conditional update of the plan in the store has
    /// succeeded, and offers it to the neighbours and to the other domains.
    void acceptPlanLocally(PlanVersion version, const std::string &json, MonotonicTime now,
                           FeedActions &out)
    {
        m_now = now;
        m_offersToOtherDomains = true;
        adoptPlan(version, json, out);
        m_offersToOtherDomains = false;
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
        bool hasSentHeartbeat = false;
        MonotonicTime lastHeartbeatAt;
        bool storeReachable = false;
        /// Highest versions that the peer has announced, corrected by the results of fetches.
        FeedVersions versions;
        /// Fetches from the peer that failed since the last successful one; peers with fewer
        /// failures are preferred.
        int failures = 0;
        MonotonicTime retryAt;
    };
    struct Fetch
    {
        std::uint64_t number = 0;
        FeedItem item = FeedItem::Configuration;
        std::optional<InstanceId> from;
        MonotonicTime startedAt;
        MonotonicTime deadline;
        /// Set while the sections of a new head are being fetched.
        std::optional<SectionCollector> collector;
        /// Sections that have been requested and not yet received.
        std::set<SectionName> requested;

        bool isActive() const { return number != 0; }
    };
    using PeerFetches = std::array<Fetch, 2>;
    struct StoreState
    {
        MonotonicTime retryAt;
        microseconds backoff{ 0 };
    };

    microseconds jitter(microseconds range)
    {
        return microseconds(std::uniform_int_distribution<std::int64_t>(
                0, std::max<std::int64_t>(range.count(), 1))(m_random));
    }

    bool isLive(const Peer &peer, MonotonicTime now) const
    {
        return peer.hasSentHeartbeat
               && (!Rules::ReplaceWatchers
                   || now - peer.lastHeartbeatAt <= m_options.heartbeatTimeout);
    }

    /// Returns the rank of an instance among the candidates for watching the store; the lowest are
    /// chosen. Every instance of a domain computes the same ranks.
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
        for (std::size_t i = 0; i < ranked.size() && i < m_options.watchersPerDomain; ++i)
            ids.push_back(ranked[i].second);
        return ids;
    }

    void mergeVersions(Peer &peer, const FeedVersions &versions)
    {
        peer.versions.generation = std::max(peer.versions.generation, versions.generation);
        peer.versions.plan = std::max(peer.versions.plan, versions.plan);
    }

    void sendHeartbeats(FeedActions &out)
    {
        ++m_heartbeatRounds;
        const std::vector<InstanceId> chosen = watchers(m_now);
        const bool isWatching = std::find(chosen.begin(), chosen.end(), m_self.id) != chosen.end();
        std::set<InstanceId> partners;
        if (m_neighbourOrder.size() <= m_options.neighboursPerPeriod) {
            partners.insert(m_neighbourOrder.begin(), m_neighbourOrder.end());
        } else {
            // Each period includes a watcher, so that a failed watcher is detected within the
            // heartbeat timeout; the remaining neighbours take turns.
            if (!isWatching)
                partners.insert(chosen[m_heartbeatRounds % chosen.size()]);
            while (partners.size() < m_options.neighboursPerPeriod) {
                partners.insert(m_neighbourOrder[m_nextNeighbour]);
                m_nextNeighbour = (m_nextNeighbour + 1) % m_neighbourOrder.size();
            }
        }
        const bool isWithoutConfiguration = m_head.generation == Generation();
        if (Rules::CrossDomains && (isWatching || isWithoutConfiguration)) {
            const std::size_t count = std::min(m_options.domainsPerPeriod, m_domainOrder.size());
            for (std::size_t i = 0; i < count; ++i) {
                partners.insert(contactIn(m_domainOrder[m_nextDomain]));
                m_nextDomain = (m_nextDomain + 1) % m_domainOrder.size();
            }
        }
        for (const InstanceId &id : partners)
            out.push_back(SendHeartbeat{ id });
    }

    /// Returns the instance of another domain to exchange messages with: the first that has sent a
    /// heartbeat recently, otherwise one chosen by the number of the heartbeat round.
    InstanceId contactIn(const FailureDomainId &domain)
    {
        const std::vector<InstanceId> &members = m_domains.at(domain);
        const microseconds contactTimeout =
                m_options.heartbeatPeriod
                * static_cast<std::int64_t>(
                        2
                        + m_domainOrder.size()
                                  / std::max<std::size_t>(1, m_options.domainsPerPeriod));
        for (const InstanceId &id : members) {
            const Peer &peer = m_peers.at(id);
            if (peer.hasSentHeartbeat && m_now - peer.lastHeartbeatAt <= contactTimeout)
                return id;
        }
        return members[m_heartbeatRounds % members.size()];
    }

    void readStore(FeedActions &out)
    {
        const std::vector<InstanceId> chosen = watchers(m_now);
        const bool isWatching = std::find(chosen.begin(), chosen.end(), m_self.id) != chosen.end();
        if (!isWatching) {
            bool isStoreReachedByWatcher = false;
            for (const InstanceId &id : chosen)
                isStoreReachedByWatcher = isStoreReachedByWatcher || m_peers.at(id).storeReachable;
            const bool isWithoutConfiguration = m_head.generation == Generation();
            if ((isStoreReachedByWatcher && !isWithoutConfiguration) || !Rules::ReplaceWatchers) {
                m_nextFallbackReadAt = m_now + randomFallbackInterval();
                return;
            }
            if (m_now < m_nextFallbackReadAt)
                return;
            m_nextFallbackReadAt = m_now + randomFallbackInterval();
        }
        for (Fetch &fetch : m_storeFetches) {
            const FeedItem item =
                    &fetch == m_storeFetches.data() ? FeedItem::Configuration : FeedItem::Plan;
            if (fetch.isActive() || m_now < m_store[index(item)].retryAt)
                continue;
            // A watch is begun only if the last call to the store succeeded. Otherwise a plain read
            // is made, whose failure is detected without waiting for the end of a watch.
            const milliseconds wait =
                    isWatching && m_storeReachable ? m_options.watchDuration : milliseconds(0);
            begin(fetch, item, std::nullopt, out, wait);
        }
    }

    /// Returns a random interval whose mean is fallbackPeriod times the number of neighbours, so
    /// that all instances of the domain together read the store about once per fallbackPeriod.
    microseconds randomFallbackInterval()
    {
        const microseconds mean =
                m_options.fallbackPeriod
                * static_cast<std::int64_t>(std::max<std::size_t>(1, m_neighbourOrder.size()));
        return mean / 2 + jitter(mean);
    }

    void fetchFromPeers(FeedActions &out)
    {
        for (const FeedItem item : { FeedItem::Configuration, FeedItem::Plan }) {
            if (ownVersion(item) == 0 && m_now - m_startedAt < m_options.startWindow)
                continue;
            PeerFetches &fetches = m_peerFetches[index(item)];
            if (!fetches[0].isActive()) {
                fetchFromBest(fetches[0], fetches[1], item, out);
                // Hedges against a slow first peer by fetching from a second one.
            } else if (!fetches[1].isActive()
                       && m_now - fetches[0].startedAt >= m_options.hedgeDelay) {
                fetchFromBest(fetches[1], fetches[0], item, out);
            }
        }
    }

    void fetchFromBest(Fetch &fetch, const Fetch &other, FeedItem item, FeedActions &out)
    {
        const InstanceId *best = nullptr;
        const Peer *bestPeer = nullptr;
        for (const auto &[id, peer] : m_peers) {
            if (announcedVersion(peer, item) <= ownVersion(item) || m_now < peer.retryAt)
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

    /// Returns a sort key by which the peer with the fewest failures is preferred, then the highest
    /// version, then the own domain.
    std::tuple<int, std::uint64_t, bool> preference(const Peer &peer, FeedItem item) const
    {
        return { -peer.failures, announcedVersion(peer, item), peer.domain == m_self.domain };
    }

    static std::size_t index(FeedItem item) { return item == FeedItem::Configuration ? 0 : 1; }
    static std::uint64_t announcedVersion(const Peer &peer, FeedItem item)
    {
        return item == FeedItem::Configuration ? peer.versions.generation.value()
                                               : peer.versions.plan.value();
    }
    std::uint64_t ownVersion(FeedItem item) const
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
        fetch.startedAt = m_now;
        fetch.deadline = m_now + (from ? m_options.peerTimeout : m_options.storeTimeout) + wait;
        out.push_back(FetchItem{ fetch.number, from, item, ownVersion(item), wait });
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

    /// Sets the version that the fetch found as the peer's version. After a restart a peer may have
    /// an older version than its former process announced; it is not asked again until it announces
    /// a higher one.
    void setPeerVersion(const Fetch &fetch, std::uint64_t version)
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
        m_receivedTexts[fetch.collector->head().sections.at(name).digest] = text;
        return true;
    }

    /// Adds the texts that earlier, failed fetches have received, so that a lost reply costs the
    /// transfer of one section and not of all.
    void reuseReceivedTexts(SectionCollector &collector)
    {
        std::map<std::string, std::string> used;
        for (const SectionName &name : collector.missing()) {
            const auto it = m_receivedTexts.find(collector.head().sections.at(name).digest);
            if (it != m_receivedTexts.end() && collector.add(name, it->second))
                used.insert(*it);
        }
        m_receivedTexts = std::move(used);
    }

    void continueSections(Fetch &fetch, FeedActions &out)
    {
        if (fetch.collector->isComplete()) {
            const SectionCollector collector = std::move(*fetch.collector);
            end(fetch);
            adoptConfiguration(collector.head(), collector.texts(), out);
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

    void recordStoreResult(const Fetch &fetch, bool ok)
    {
        if (fetch.from)
            return;
        m_storeReachable = ok;
        if (ok)
            m_store[index(fetch.item)].backoff = microseconds(0);
    }

    void fail(Fetch &fetch)
    {
        if (fetch.from) {
            const auto it = m_peers.find(*fetch.from);
            if (it != m_peers.end()) {
                ++it->second.failures;
                it->second.retryAt = m_now + m_options.peerRetryDelay;
            }
        } else {
            m_storeReachable = false;
            StoreState &store = m_store[index(fetch.item)];
            store.backoff = std::clamp(store.backoff * 2, m_options.minStoreBackoff,
                                       m_options.maxStoreBackoff);
            store.retryAt = m_now + store.backoff / 2 + jitter(store.backoff / 2);
        }
        end(fetch);
    }

    static void end(Fetch &fetch) { fetch = Fetch(); }

    void expireFetches()
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

    void adoptConfiguration(const Head &head, const SectionTexts &texts, FeedActions &out)
    {
        if (Rules::AdoptOnlyGreater && head.generation <= m_head.generation)
            return;
        m_head = head;
        m_texts = texts;
        m_receivedTexts.clear();
        out.push_back(AdoptConfiguration{ head, texts });
        offer(out);
    }

    void adoptPlan(PlanVersion version, const std::string &json, FeedActions &out)
    {
        if (Rules::AdoptOnlyGreater && version <= m_plan)
            return;
        m_plan = version;
        m_planJson = json;
        out.push_back(AdoptPlan{ version, json });
        offer(out);
    }

    /// Offers the versions in force to the neighbours that are not known to have them and, for
    /// versions accepted by this instance, to one instance of each other domain.
    void offer(FeedActions &out)
    {
        for (const InstanceId &id : m_neighbourOrder) {
            const Peer &peer = m_peers.at(id);
            if (peer.versions.generation < m_head.generation || peer.versions.plan < m_plan)
                out.push_back(SendOffer{ id, versions() });
        }
        if (!m_offersToOtherDomains || !Rules::CrossDomains)
            return;
        for (const FailureDomainId &domain : m_domainOrder)
            out.push_back(SendOffer{ contactIn(domain), versions() });
    }

    PeerIdentity m_self;
    DisseminationOptions m_options;
    std::mt19937_64 m_random;
    MonotonicTime m_startedAt;
    MonotonicTime m_now;
    MonotonicTime m_nextHeartbeatAt;
    MonotonicTime m_nextFallbackReadAt;
    std::uint64_t m_heartbeatRounds = 0;
    std::map<InstanceId, Peer> m_peers;
    std::vector<InstanceId> m_neighbourOrder;
    std::size_t m_nextNeighbour = 0;
    std::map<FailureDomainId, std::vector<InstanceId>> m_domains;
    std::vector<FailureDomainId> m_domainOrder;
    std::size_t m_nextDomain = 0;
    bool m_offersToOtherDomains = false;
    bool m_storeReachable = false;
    std::array<StoreState, 2> m_store;
    std::array<Fetch, 2> m_storeFetches;
    std::array<PeerFetches, 2> m_peerFetches;
    std::uint64_t m_lastNumber = 0;
    Head m_head;
    SectionTexts m_texts;
    /// Texts received for configurations that are not complete yet, by digest.
    std::map<std::string, std::string> m_receivedTexts;
    PlanVersion m_plan;
    std::string m_planJson;
};

using Dissemination = BasicDissemination<DisseminationRules>;

} // namespace Tarragon
