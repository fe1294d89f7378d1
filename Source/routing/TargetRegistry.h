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
    /// Maximum time for which targets are retained after the last call to the store that failed
    /// began. The platform binds an entry from 3 s after the end of its trouble.
    microseconds maxRetentionAfterFailure{ 2'700'000 };
    /// Outages of at least this duration may let registrations expire. Expiry takes three
    /// heartbeats of a target, above 4 s, of which an entry may notice a part only.
    microseconds minExpiryOutage{ 2'000'000 };
    /// Time after which a target that has left must not get requests any more.
    microseconds drainTime{ 2'500'000 };
    /// Time before the end of the drain time at which retention ends, for requests on their way.
    microseconds drainMargin{ 300'000 };
    /// Fraction of a service's available targets above which registrations (at least two) that
    /// vanish together are considered lost although the targets are running.
    double massRemovalFraction = 0.5;
    /// Period within which removals count as simultaneous.
    microseconds massRemovalWindow{ 1'500'000 };
    /// Time for which a target is considered cold after the evacuation of its failure domain ends,
    /// because it may have restarted meanwhile without the registry showing it yet.
    microseconds coldTimeAfterEvacuation{ 3'000'000 };
    /// Time for which the removal of a registration is remembered. A store that is restored from a
    /// copy may show the registration again.
    microseconds removalMemory{ 60'000'000 };
    /// Time after a restore for which registrations that had been removed before are not used,
    /// unless they are written again. Those of targets that have left expire within it.
    microseconds restoredHoldTime{ 10'000'000 };
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
/// means. Normally the target has left and is removed. Just after a store outage, or when most
/// registrations of a service vanish together, the registrations may have expired although the
/// targets are running, so the targets are retained for a grace period in which they can register
/// again. Unless the outage was long enough for registrations to expire, retention also ends before
/// the drain time since the removal, because the targets may just as well have left.
class TargetRegistry
{
public:
    using Targets = std::map<TargetId, KnownTarget>;

    explicit TargetRegistry(const TargetRegistryOptions &options = {});

    /// Replaces all registrations by a complete list. `madeAfter` is a time before all changes
    /// since the last update; nothing if there is none but `now`.
    void replaceAll(const std::vector<DiscoveredTarget> &targets, MonotonicTime now,
                    const std::optional<MonotonicTime> &madeAfter = std::nullopt);
    /// Replaces all registrations by the first list after the store was restored from a copy.
    /// Missing targets are retained for the grace period, in which they register again. Targets
    /// whose registrations had been removed before are not used unless they register again.
    void replaceAllRestored(const std::vector<DiscoveredTarget> &targets, MonotonicTime now);
    /// Adds or updates a registration.
    void set(const DiscoveredTarget &target, MonotonicTime now);
    /// Called when a registration was removed from the store, at `madeAfter` or later.
    void remove(const TargetId &target, MonotonicTime now,
                const std::optional<MonotonicTime> &madeAfter = std::nullopt);
    /// Called when the target process with this start time has itself announced that it is leaving.
    /// The announcement overrides the registry until the target restarts.
    void onLeavingAnnounced(const TargetId &target, std::uint64_t startTimeMs, MonotonicTime now);
    /// Called when calls to the store begin to fail.
    void onStoreUnavailable(MonotonicTime now);
    /// Called when calls to the store succeed again. `lastFailureBeganAt` is the latest start of a
    /// call that has failed; the store may have been available since then.
    void onStoreAvailable(MonotonicTime now,
                          const std::optional<MonotonicTime> &lastFailureBeganAt = std::nullopt);
    /// Sets the time after which a target that has left must not get requests any more.
    void setDrainTime(microseconds time) { m_options.drainTime = time; }
    /// Sets the evacuated failure domains, whose targets get no new requests.
    void setEvacuated(const std::set<FailureDomainId> &domains, MonotonicTime now);
    /// Removes retained targets and leaving announcements whose time has expired, and uses targets
    /// whose hold time has expired. Returns whether any target was removed or added.
    bool removeExpired(MonotonicTime now);

    const Targets &targets() const { return m_targets; }
    /// Incremented with every change of a target or its availability.
    std::uint64_t revision() const { return m_revision; }
    /// Returns the changes since the last call.
    std::vector<TargetChange> takeTargetChanges();

private:
    /// A registration of a removed process that is in the store again since it was restored.
    struct HeldBackTarget
    {
        DiscoveredTarget registration;
        MonotonicTime until;
    };

    /// The removal of a registration.
    struct RemovedTarget
    {
        std::uint64_t startTimeMs = 0;
        MonotonicTime at;
    };

    struct Removal
    {
        ServiceId service;
        MonotonicTime at;
    };

    /// Announcement of a target process that it is leaving, by a response or by its registration.
    /// It holds until the target restarts.
    struct LeavingAnnouncement
    {
        std::uint64_t startTimeMs = 0;
        /// Nothing if the target was not registered.
        std::optional<Endpoint> address;
        MonotonicTime at;
    };

    bool hasAnnouncedLeaving(const DiscoveredTarget &entry) const;
    void recordChange(const KnownTarget &target, const std::string &change);
    void updateAvailability(KnownTarget &target) const;
    void erase(Targets::iterator it, MonotonicTime now);
    /// Uses the registrations whose hold time has expired, and forgets old removals.
    bool releaseHeldBack(MonotonicTime now);
    /// Returns the time until which a target whose registration has vanished is retained; nothing
    /// if it has left.
    std::optional<MonotonicTime> retentionEnd(const KnownTarget &target, MonotonicTime now,
                                              MonotonicTime madeAfter);
    bool isWithinGracePeriod(const std::optional<MonotonicTime> &since, MonotonicTime now) const
    {
        return since.has_value() && now - *since < m_options.gracePeriod;
    }
    bool isMassRemoval(const ServiceId &service, MonotonicTime now);
    std::size_t readyCount(const ServiceId &service) const;

    TargetRegistryOptions m_options;
    Targets m_targets;
    std::map<TargetId, LeavingAnnouncement> m_leavingAnnouncements;
    std::map<TargetId, RemovedTarget> m_removedTargets;
    std::map<TargetId, HeldBackTarget> m_heldBackTargets;
    std::set<FailureDomainId> m_evacuated;
    /// Start of the store outage in progress.
    std::optional<MonotonicTime> m_storeUnavailableSince;
    /// End of the last outage.
    std::optional<MonotonicTime> m_outageEndedAt;
    /// Time until which targets are retained because of the last outage in which registrations may
    /// have expired.
    MonotonicTime m_retentionAfterOutageEndsAt;
    std::vector<Removal> m_removals;
    std::vector<TargetChange> m_changes;
    std::uint64_t m_revision = 0;
};

} // namespace Tarragon
