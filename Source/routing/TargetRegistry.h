#pragma once

#include "routing/DiscoveredTarget.h"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace Tarragon {

/// Limits of TargetRegistry.
struct TargetRegistryOptions
{
    /// Targets whose entries lapsed during an outage of the store have registered again this long
    /// after its return; the platform states about two seconds.
    microseconds lapseGrace{ 2'100'000 };
    /// Part of a service's ready targets whose entries vanish together, at least two, that is
    /// taken for a loss of entries rather than of targets.
    double burstShare = 0.5;
    /// Removals within this time count as together.
    microseconds burstWindow{ 1'500'000 };
    /// A target is taken for cold this long after the evacuation of its failure domain, during
    /// which it may have restarted without the registry showing it yet.
    microseconds evacuationColdness{ 3'000'000 };
    /// Time for which it is remembered of a target without an entry that it said it was leaving.
    /// Its entry may lapse and be written again meanwhile.
    microseconds leavingMemory{ 600'000'000 };
};

/// How a target may be used.
enum class TargetStanding {
    Ready,
    /// Its failure domain is evacuated: no new work until that is taken back.
    Evacuated,
    /// It has announced its stop, or its entry is gone.
    Leaving,
};

/// A known target and what follows from the registry for it.
struct KnownTarget
{
    DiscoveredTarget entry;
    TargetStanding standing = TargetStanding::Ready;
    /// Until when it bears only the cold rate of its service.
    MonotonicTime coldUntil;
    /// Raised with every new run of the target.
    int run = 0;
    /// The entry has vanished, and the target is kept until then in case it only lapsed.
    std::optional<MonotonicTime> removeAt;
};

/// One change of belief, for the log.
struct TargetChange
{
    TargetId target;
    ServiceId service;
    /// "joined", "draining", "said-leaving", "removed", "held", "returned", "restarted",
    /// "evacuated" or "restored"; of ServiceDispatcher "suspended" or "trusted".
    std::string what;
};

/// The targets that the platform's registry names. Decides what a vanished entry means: while the
/// store is sound the target is leaving; after an outage, or when most entries of a service vanish
/// together, entries may have lapsed although their targets live, and the targets are kept until
/// they have had time to register again.
class TargetRegistry
{
public:
    using Targets = std::map<TargetId, KnownTarget>;

    explicit TargetRegistry(const TargetRegistryOptions &options = {});

    /// Takes a complete list.
    void replaceAll(const std::vector<DiscoveredTarget> &targets, MonotonicTime now);
    /// Takes a new or changed entry.
    void set(const DiscoveredTarget &target, MonotonicTime now);
    /// An entry was removed.
    void remove(const TargetId &target, MonotonicTime now);
    /// A run of the target, told by its start, has said itself that it is leaving. That holds,
    /// whatever the registry says, until the target has started again.
    void noteLeaving(const TargetId &target, std::uint64_t bornMs, MonotonicTime now);
    /// Calls to the store have begun to fail.
    void onStoreLost();
    /// Calls to the store succeed again.
    void onStoreBack(MonotonicTime now);
    /// Takes the failure domains that are to get no work.
    void setEvacuated(const std::set<FailureDomainId> &domains, MonotonicTime now);
    /// Drops the held targets, and what is remembered of targets that have left, whose time is
    /// over. Returns whether any target was dropped.
    bool expire(MonotonicTime now);

    const Targets &targets() const { return m_targets; }
    /// Raised with every change of a target or its standing.
    std::uint64_t revision() const { return m_revision; }
    /// The changes since the last call.
    std::vector<TargetChange> takeChanges();

private:
    struct Removal
    {
        ServiceId service;
        MonotonicTime at;
    };

    /// What a target has said of its leaving.
    struct Leaving
    {
        std::uint64_t bornMs = 0;
        Endpoint address;
        MonotonicTime at;
    };

    bool hasSaidLeaving(const DiscoveredTarget &entry) const;
    void note(const KnownTarget &target, const std::string &what);
    void refreshStanding(KnownTarget &target) const;
    void erase(Targets::iterator it);
    /// Keeps the target for the lapse grace counted from the given moment.
    void hold(KnownTarget &target, MonotonicTime from);
    bool isBurst(const ServiceId &service, MonotonicTime now);
    std::size_t readyCount(const ServiceId &service) const;

    TargetRegistryOptions m_options;
    Targets m_targets;
    std::map<TargetId, Leaving> m_leaving;
    std::set<FailureDomainId> m_evacuated;
    bool m_storeLost = false;
    std::optional<MonotonicTime> m_storeBackAt;
    std::vector<Removal> m_removals;
    std::vector<TargetChange> m_changes;
    std::uint64_t m_revision = 0;
};

} // namespace Tarragon
