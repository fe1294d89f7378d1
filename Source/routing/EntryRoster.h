#pragma once

#include "base/Ids.h"
#include "base/Units.h"
#include "base/Versions.h"
#include "document/Topology.h"

#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <vector>

namespace Tarragon {

/// An entry as it registers itself in the platform's store.
struct EntryRecord
{
    InstanceId instance;
    FailureDomainId domain;
    RegionId region;
    Incarnation incarnation;
    /// Where callers send requests.
    Endpoint front;
    /// Where other entries send RPC.
    Endpoint rpc;

    friend bool operator==(const EntryRecord &, const EntryRecord &) = default;
};

/// What one entry knows of the life of another, as entries pass it on to each other.
struct RosterItem
{
    InstanceId instance;
    Incarnation incarnation;
    /// Raised by the entry itself with every round; entries that see it rise know that it lives.
    std::uint64_t beat = 0;
    /// Whether it takes callers.
    bool isServing = false;

    friend bool operator==(const RosterItem &, const RosterItem &) = default;
};

/// Limits of EntryRoster.
struct EntryRosterOptions
{
    /// An entry whose beat has not risen for this long is not named to callers. Half of the time
    /// within which lookups must drop a dead entry (contact time plus 3 s), because the news takes
    /// a few rounds to get round.
    microseconds silence{ 3'000'000 };
    /// Entries that one entry talks to in a round.
    std::size_t fanOut = 2;
    /// Exchanges with other failure domains that all entries of a domain begin together in a round,
    /// in the mean. Bytes between domains are priced and must not grow with the entries of a
    /// domain.
    double domainExchanges = 6;
};

/// Which entries live, learnt by gossip: every entry raises a beat of its own and exchanges what it
/// knows with a few others. The load of one entry does not grow with the square of their number.
class EntryRoster
{
public:
    EntryRoster(EntryRecord self, std::uint64_t seed, const EntryRosterOptions &options = {});

    /// Takes the entries that the store names, with the own one or without it.
    void setRecords(const std::vector<EntryRecord> &records);
    /// Whether this entry takes callers.
    void setServing(bool isServing) { m_isServing = isServing; }
    /// Raises the own beat. Returns the entries to talk to in this round: one of the own failure
    /// domain in each, and in some, the fewer the larger the domain, one of another.
    std::vector<InstanceId> beginRound();
    /// What to tell another entry.
    std::vector<RosterItem> items() const;
    /// Takes what another entry has told.
    void merge(const std::vector<RosterItem> &items, MonotonicTime now);

    /// Entries of the region that take callers, this one included.
    std::vector<EntryRecord> serving(const RegionId &region, MonotonicTime now) const;
    /// Entries that live, this one included; limits of the whole deployment are divided by it.
    std::size_t liveCount(MonotonicTime now) const;
    bool isLive(const InstanceId &instance, MonotonicTime now) const;
    /// The entries of the own failure domain that watch the store for it, at most this many: the
    /// first by a rank on which all agree, without those that have fallen silent. Entries that were
    /// never heard count, as at the start nobody has been.
    std::vector<InstanceId> watchers(std::size_t count, MonotonicTime now) const;
    /// Registered entries of the own failure domain, this one included.
    std::size_t domainSize() const;
    /// Registered entries, this one included.
    std::size_t size() const { return m_members.size() + 1; }
    /// All registered entries but this one.
    std::vector<EntryRecord> others() const;
    const EntryRecord &self() const { return m_self; }

private:
    struct Member
    {
        EntryRecord record;
        RosterItem item;
        /// When the beat rose last; nothing if it was never seen to rise.
        std::optional<MonotonicTime> risenAt;
    };

    bool isLive(const Member &member, MonotonicTime now) const;

    EntryRecord m_self;
    EntryRosterOptions m_options;
    std::mt19937_64 m_random;
    std::map<InstanceId, Member> m_members;
    bool m_isServing = false;
    std::uint64_t m_beat = 0;
};

} // namespace Tarragon
