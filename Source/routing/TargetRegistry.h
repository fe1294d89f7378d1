#pragma once

#include "routing/DiscoveredTarget.h"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace Tarragon {

/// Configures how long TargetRegistry retains targets and assumptions.
struct TargetRegistryOptions
{
    /// Grace period after a store outage within which targets whose registrations expired during
    /// the outage register again; the platform states about two seconds.
    microseconds gracePeriod{ 2'100'000 };
    /// Fraction of a service's available targets above which registrations (at least two) that
    /// vanish together are considered lost although the targets are running.
    double massRemovalFraction = 0.5;
    /// Period within which removals count as simultaneous.
    microseconds massRemovalWindow{ 1'500'000 };
    /// Time for which a target is considered cold after the evacuation of its failure domain ends,
    /// because it may have restarted meanwhile without the registry showing it yet.
    microseconds coldTimeAfterEvacuation{ 3'000'000 };
    /// Time for which a leaving announcement of a target without a registration is retained. The
    /// registration may expire and be written again meanwhile.
    microseconds leavingRetention{ 600'000'000 };
};

/// Whether a target may get requests.
enum class TargetAvailability {
    Ready,
    /// The target's failure domain is evacuated: no new requests until the evacuation ends.
    Evacuated,
    /// The target has announced that it will stop.
    Leaving,
};

/// State of a registered target.
struct KnownTarget
{
    DiscoveredTarget registration;
    TargetAvailability availability = TargetAvailability::Ready;
    /// Time until which the target is cold and only gets the cold rate of its service.
    MonotonicTime coldUntil;
    /// Incremented when the target restarts.
    int restartCount = 0;
    /// Set if the registration has vanished: the target is retained until this time in case the
    /// registration merely expired.
    std::optional<MonotonicTime> retainedUntil;
};

/// Change of a target's state, for the log.
struct TargetChange
{
    TargetId target;
    ServiceId service;
    /// Text for the log. From TargetRegistry: "joined", "draining", "ready-again", "said-leaving",
    /// "removed", "held" (retained after its registration vanished), "returned", "restarted",
    /// "evacuated" or "restored". From ServiceDispatcher: "suspended" (ejected) or "trusted"
    /// (readmitted).
    std::string change;
};

/// Maintains the targets from the platform's registry and decides what a vanished registration
/// means. Normally the target has left and is removed. During or just after a store outage, or when
/// most registrations of a service vanish together, the registrations may have expired although the
/// targets are running, so the targets are retained for a grace period in which they can register
/// again.
class TargetRegistry
{
public:
    using Targets = std::map<TargetId, KnownTarget>;

    explicit TargetRegistry(const TargetRegistryOptions &options = {});

    /// Replaces all registrations by a complete list.
    void replaceAll(const std::vector<DiscoveredTarget> &targets, MonotonicTime now);
    /// Adds or updates a registration.
    void set(const DiscoveredTarget &target, MonotonicTime now);
    /// Called when a registration was removed from the store.
    void remove(const TargetId &target, MonotonicTime now);
    /// Called when the target process with this start time has itself announced that it is leaving.
    /// The announcement overrides the registry until the target restarts.
    void onLeavingAnnounced(const TargetId &target, std::uint64_t startTimeMs, MonotonicTime now);
    /// Called when calls to the store begin to fail.
    void onStoreUnavailable();
    /// Called when calls to the store succeed again.
    void onStoreAvailable(MonotonicTime now);
    /// Sets the evacuated failure domains, whose targets get no new requests.
    void setEvacuated(const std::set<FailureDomainId> &domains, MonotonicTime now);
    /// Removes retained targets and leaving announcements whose time has expired. Returns whether
    /// any target was removed.
    bool removeExpired(MonotonicTime now);

    const Targets &targets() const { return m_targets; }
    /// Incremented with every change of a target or its availability.
    std::uint64_t revision() const { return m_revision; }
    /// Returns the changes since the last call.
    std::vector<TargetChange> takeTargetChanges();

private:
    struct Removal
    {
        ServiceId service;
        MonotonicTime at;
    };

    /// Announcement of a target that it is leaving.
    struct LeavingAnnouncement
    {
        std::uint64_t startTimeMs = 0;
        Endpoint address;
        MonotonicTime at;
    };

    bool hasAnnouncedLeaving(const DiscoveredTarget &entry) const;
    void recordChange(const KnownTarget &target, const std::string &change);
    void updateAvailability(KnownTarget &target) const;
    void erase(Targets::iterator it);
    /// Retains the target for the grace period, counted from the given time.
    void retain(KnownTarget &target, MonotonicTime from);
    bool isMassRemoval(const ServiceId &service, MonotonicTime now);
    std::size_t readyCount(const ServiceId &service) const;

    TargetRegistryOptions m_options;
    Targets m_targets;
    std::map<TargetId, LeavingAnnouncement> m_leavingAnnouncements;
    std::set<FailureDomainId> m_evacuated;
    bool m_isStoreUnavailable = false;
    std::optional<MonotonicTime> m_storeAvailableSince;
    std::vector<Removal> m_removals;
    std::vector<TargetChange> m_changes;
    std::uint64_t m_revision = 0;
};

} // namespace Tarragon
