#pragma once

#include "base/Ids.h"
#include "base/Units.h"
#include "base/Versions.h"
#include "document/Topology.h"
#include "routing/Workspace.h"

#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <utility>
#include <vector>

namespace Tarragon {

/// An entry as it registers itself in the platform's store.
struct EntryRecord
{
    InstanceId instance;
    FailureDomainId domain;
    RegionId region;
    Incarnation incarnation;
    /// Address for the requests of callers.
    Endpoint front;
    /// Address for the RPC calls of other entries.
    Endpoint rpc;
    /// Whether the entry issues permits for requests to limited targets. Builds without permits do
    /// not state it.
    bool issuesPermits = false;
    /// Whether the entry issues permits for requests to cold targets. Builds that do not state it
    /// send each entry's share of the cold rate without permits.
    bool issuesColdPermits = false;
    /// Whether the entry permits trials of requests under suspicion. Builds without trials do not
    /// state it.
    bool issuesTrials = false;
    /// Whether the entry issues tokens of workspaces with caps. Builds without caps do not state
    /// it.
    bool issuesUsage = false;
    /// Capacity for requests of callers; nothing if unknown. Builds that do not state it count as
    /// equal to all others.
    std::optional<Cores> capacity;

    friend bool operator==(const EntryRecord &, const EntryRecord &) = default;
};

/// Reason why a request to a target needs a permit.
enum class PermitKind {
    /// The target states a limit.
    StatedLimit,
    /// The target is cold.
    ColdRate,
};

/// State of one entry as entries exchange it by gossip.
struct GossipMemberState
{
    InstanceId instance;
    Incarnation incarnation;
    /// Heartbeat counter. The entry itself increments it in every gossip round; other entries
    /// consider it live while they see the counter increase.
    std::uint64_t heartbeat = 0;
    /// Whether the entry accepts requests of callers.
    bool isServing = false;
    /// Time since the entry incremented the counter, as far as it was spent at entries that passed
    /// the state on; 0 in states of older builds.
    milliseconds age{ 0 };

    friend bool operator==(const GossipMemberState &, const GossipMemberState &) = default;
};

/// Configures gossip and failure detection of EntryMembership.
struct EntryMembershipOptions
{
    /// Time without a new heartbeat after which an entry counts as failed and lookups no longer
    /// return it. Half of the time within which lookups must drop a failed entry (contact time plus
    /// 3 s), because gossip needs a few rounds to reach all entries.
    microseconds heartbeatTimeout{ 3'000'000 };
    /// Number of entries that one entry contacts in each gossip round.
    std::size_t fanOut = 2;
    /// Mean number of exchanges with other failure domains that all entries of one domain together
    /// start in each gossip round. Traffic between domains is billed and must not grow with the
    /// number of entries in a domain.
    double crossDomainExchanges = 6;
};

/// Tracks which registered entries are live, by gossip: in each round an entry increments its own
/// heartbeat counter and exchanges the counters of all entries with a few others. This way the load
/// of one entry does not grow with the square of the number of entries.
class EntryMembership
{
public:
    EntryMembership(EntryRecord localEntry, std::uint64_t seed,
                    const EntryMembershipOptions &options = {});

    /// Replaces the registered entries by those in the store. The list may contain the local entry
    /// or not.
    void setRecords(const std::vector<EntryRecord> &records);
    /// Sets whether the local entry accepts requests of callers.
    void setServing(bool isServing) { m_isServing = isServing; }
    /// Increments the local heartbeat and returns the entries to contact in this gossip round:
    /// entries of the local failure domain only, or with a probability that decreases with the size
    /// of the domain, one of the domain and the rest of other domains.
    std::vector<InstanceId> beginGossipRound();
    /// Returns the state of the local entry and of all entries from which a heartbeat was received,
    /// to send to another entry.
    std::vector<GossipMemberState> memberStates(MonotonicTime now) const;
    /// Merges states received from another entry. Ignores unregistered entries, other incarnations
    /// than the registered one, and heartbeats that have not increased. An entry that failed some
    /// time ago is live again with its second heartbeat; so is an entry of which the first
    /// heartbeat that arrives is older than the heartbeat timeout.
    void merge(const std::vector<GossipMemberState> &states, MonotonicTime now);

    /// Returns the live entries of the region that accept requests of callers, including the local
    /// entry.
    std::vector<EntryRecord> servingEntries(const RegionId &region, MonotonicTime now) const;
    /// Returns the number of live entries including the local one. Limits that apply to the whole
    /// deployment are divided by this number.
    std::size_t liveCount(MonotonicTime now) const;
    bool isLive(const InstanceId &instance, MonotonicTime now) const;
    /// Returns the entries, at most count, that watch the store for the local failure domain. All
    /// entries rank the domain's entries by the same hash and take the first ones whose heartbeats
    /// have not timed out. Entries from which no heartbeat has been received yet are included,
    /// because at the start there are no heartbeats at all.
    std::vector<InstanceId> watchers(std::size_t count, MonotonicTime now) const;
    /// Returns the entry that issues the permits of this kind for requests to a target in this
    /// failure domain: the first one by a hash of target and entry among the live entries of the
    /// domain, or among all if it has none. An entry that can reach the target then mostly reaches
    /// the issuer too. Returns nothing before the registered entries are known.
    std::optional<InstanceId> permitIssuer(PermitKind kind, const TargetId &target,
                                           const FailureDomainId &domain, MonotonicTime now) const;
    /// Returns the entry that permits trials of requests of the service that are under suspicion:
    /// the first one by a hash of service and entry. Returns nothing before the registered entries
    /// are known.
    std::optional<InstanceId> trialIssuer(const ServiceId &service, MonotonicTime now) const;
    /// Returns the entry that issues the tokens of a workspace with a cap: the first one by a hash
    /// of workspace and entry. Returns nothing before the registered entries are known.
    std::optional<InstanceId> usageIssuer(const WorkspaceName &workspace, MonotonicTime now) const;
    /// Returns the entry to ask for tokens of the workspace. This is the issuer, except that an
    /// entry which has not heard from most of the others also considers those from which no
    /// heartbeat has been received: after its start it would otherwise ask itself.
    std::optional<InstanceId> probableUsageIssuer(const WorkspaceName &workspace,
                                                  MonotonicTime now) const;
    /// Whether the first entry is chosen before the second as the issuer of the workspace.
    static bool precedes(const InstanceId &first, const InstanceId &second,
                         const WorkspaceName &workspace);
    /// Returns the live entries that may issue tokens of workspaces.
    std::set<InstanceId> usageEntries(MonotonicTime now) const;
    /// Whether no live entry started long before the local one.
    bool startedWithOthers(MonotonicTime now) const;
    /// Returns the entries to which news is sent that must be known everywhere within a fraction of
    /// a second: the live entries of the local failure domain, and with `isOwnNews`, which comes
    /// from this entry and not from another failure domain, some of each other domain, which pass
    /// it on within theirs.
    std::vector<InstanceId> newsRecipients(bool isOwnNews, MonotonicTime now) const;
    /// Whether the instance is a registered entry of the local failure domain.
    bool isInLocalDomain(const InstanceId &instance) const;
    /// Returns the part of a target's limit that the local entry may issue: all if most registered
    /// entries are live. In a network partition the other entries may have an issuer too, so that a
    /// minority issues half of its proportion at most.
    double issuableFraction(MonotonicTime now) const;
    /// Returns the part of a workspace's cap that the local entry may issue: all if most registered
    /// entries are live, else so little that all sides of a network partition together exceed the
    /// cap by less than a tenth.
    double usageFraction(MonotonicTime now) const;
    /// Returns the fraction of the registered entries that ask for permits for cold targets. The
    /// others send their shares of the cold rate without permits.
    double coldPermitFraction() const;
    /// Whether all registered entries state their capacity and some of the capacities differ.
    bool hasDifferingCapacities() const;
    /// Returns the number of registered entries in the local failure domain, including the local
    /// entry.
    std::size_t domainEntryCount() const;
    /// Returns the number of registered entries, including the local entry.
    std::size_t entryCount() const { return m_members.size() + 1; }
    /// Returns all registered entries except the local one.
    std::vector<EntryRecord> otherEntries() const;
    const EntryRecord &localEntry() const { return m_localEntry; }

private:
    struct Member
    {
        EntryRecord record;
        GossipMemberState state;
        /// Time at which the heartbeat counter last increased; not set if no heartbeat has been
        /// received.
        std::optional<MonotonicTime> lastHeartbeatAt;
        /// Time at which the entry incremented the counter, by the age of the state.
        MonotonicTime sentAt;
        /// Whether one heartbeat has arrived since the entry was found to have failed.
        bool isReturning = false;
    };

    /// Time after the heartbeat timeout from which a returning entry needs a second heartbeat.
    /// Below it, gossip may only have been slow, and a stale heartbeat keeps the entry in lookups
    /// for no longer than lookups may name a failed one.
    static constexpr microseconds ConfirmationDelay{ 1'000'000 };
    /// Entries of another failure domain that pass news on there. Two, so that one of them may
    /// fail.
    static constexpr std::size_t NewsRelaysPerDomain = 2;
    /// Gossip rounds by which the heartbeat of an entry may be ahead of the local one if both
    /// started together: entries are back within 2 s, which is 5 rounds.
    static constexpr std::uint64_t FleetStartRounds = 10;
    /// Part of its proportion of a workspace's cap that a side of a partition with less than half
    /// of the entries may issue.
    static constexpr double MinorityUsage = 0.2;
    /// Orders entries: a preference, then a hash.
    using EntryRank = std::pair<bool, std::uint64_t>;

    bool isLive(const Member &member, MonotonicTime now) const;
    /// Whether a newer heartbeat of the member shows that it is running now.
    bool isRecent(const Member &member, const GossipMemberState &state, MonotonicTime now) const;
    /// Returns the live entry that accepts requests of callers and has the lowest rank; entries
    /// without a rank are left out.
    /// With `includesUnknown`, entries from which no heartbeat has been received are candidates.
    template<typename RankOf>
    std::optional<InstanceId> firstServingEntry(const RankOf &rankOf, MonotonicTime now,
                                                bool includesUnknown = false) const;
    std::optional<InstanceId> firstUsageEntry(const WorkspaceName &workspace, MonotonicTime now,
                                              bool includesUnknown) const;

    EntryRecord m_localEntry;
    EntryMembershipOptions m_options;
    std::mt19937_64 m_random;
    std::map<InstanceId, Member> m_members;
    bool m_hasRecords = false;
    bool m_isServing = false;
    std::uint64_t m_heartbeat = 0;
};

} // namespace Tarragon
