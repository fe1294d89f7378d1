#pragma once

#include "routing/EntryLocality.h"
#include "routing/RefusalPolicy.h"
#include "routing/RouteTable.h"
#include "routing/TargetEjection.h"
#include "routing/TargetLimits.h"
#include "routing/TargetLoad.h"
#include "routing/TargetRanking.h"
#include "routing/TargetRegistry.h"
#include "routing/WaitLimits.h"

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string_view>
#include <utility>
#include <vector>

namespace Tarragon {

/// Describes a request for which a target is to be chosen.
struct PlacementQuery
{
    const Route *route = nullptr;
    /// Workspace of the request; null if it has none.
    const Workspace *workspace = nullptr;
    /// Hash of the object that the request concerns; not set if the request names no object.
    std::optional<std::uint64_t> objectHash;
    /// Hash of the request's id, for choices that may differ between requests.
    std::uint64_t requestHash = 0;
    /// Targets to which the request has already been sent.
    std::set<TargetId> triedTargets;
    /// Time left until the request's deadline.
    microseconds timeLeft{ 0 };
    /// Whether a target may be chosen for which a permit is needed, as it states a limit or is
    /// cold.
    bool mayNeedPermit = true;

    /// Whether both the route and the workspace allow the request to be handled in the region.
    bool allows(const RegionId &region) const
    {
        return route->allows(region)
               && (workspace == nullptr || workspace->allowedRegions.contains(region));
    }
};

/// Process of a target, identified by its start time, that has announced that it is leaving.
struct LeavingTarget
{
    TargetId id;
    std::uint64_t startTimeMs = 0;
};

/// Reasons why no target is chosen for a request.
enum class RefusalReason {
    /// The service has no target that the request may be sent to.
    NoTarget,
    /// The expected wait at all affinity targets exceeds the maximum wait of the route.
    Busy,
    /// No target would respond before the request's deadline.
    TooLate,
    /// All available targets are cold, and their rate limit is used up.
    Cold,
    /// All available targets state limits, which are used up.
    Limited,
};

std::string_view toString(RefusalReason reason);

/// Result of placing a request: the chosen target, or the reason for a refusal.
struct Placement
{
    std::optional<TargetId> target;
    /// Whether the target states a limit or is cold, so that TargetPermits must permit the request
    /// first.
    bool needsPermit = false;
    /// Rate of requests that the target tolerates from all entries together, if it is cold.
    std::optional<RequestRate> coldRate;
    /// Estimated time until the target begins to process the request.
    microseconds expectedWait{ 0 };
    /// Estimated processing time at the target.
    microseconds expectedProcessingTime{ 0 };
    RefusalReason reason = RefusalReason::NoTarget;
    /// For a request refused as Busy or TooLate: the affinity target that has capacity first. The
    /// wait and processing time are then those of this target.
    std::optional<TargetId> busyTarget;
    /// Maximum wait with which a request is placed.
    microseconds maxWait{ 0 };
    /// Time after which a retry of a refused request is likely to be placed.
    microseconds retryAfter{ 0 };
};

/// Configures the number of affinity targets and the maximum wait.
struct DispatchOptions
{
    /// Number of affinity targets of an object. Two keep the object available while one is busy,
    /// slow or gone; with more, each target would have to handle more objects than fit into its
    /// cache.
    std::size_t affinityTargetsPerObject = 2;
    /// Maximum wait at an affinity target as a fraction of the latency goal, unless more urgent
    /// requests compete for the service. Processing takes most of the rest.
    double maxWaitToGoalRatio = 0.4;
};

/// Chooses targets for the requests of one service.
///
/// Targets process requests several times faster for objects that they have handled recently, so a
/// service that is overloaded while its caches are cold has spare capacity once each object is
/// always sent to the same targets. Each object therefore has a few affinity targets, which all
/// entries compute by the same hash without communication. A request waits for an affinity target
/// or is refused: sending it to any idle target would slow that target down and evict another
/// object from its cache.
class ServiceDispatcher
{
public:
    /// `limits` is what the entry knows about the limits of targets, shared by its dispatchers.
    ServiceDispatcher(EntryLocality locality, const HostedService &service,
                      const DispatchOptions &options = {},
                      std::shared_ptr<TargetLimits> limits = std::make_shared<TargetLimits>());
    // A copy's pointers would refer to the targets of the original; a move keeps their addresses.
    ServiceDispatcher(const ServiceDispatcher &) = delete;
    ServiceDispatcher &operator=(const ServiceDispatcher &) = delete;
    ServiceDispatcher(ServiceDispatcher &&) = default;
    ServiceDispatcher &operator=(ServiceDispatcher &&) = default;
    ~ServiceDispatcher() = default;

    /// Applies the service's parameters from a new route table.
    void setService(const HostedService &service) { m_service = service; }
    /// Replaces the targets. Targets that are still running keep their load and ejection state.
    void setTargets(const TargetRegistry::Targets &targets);
    /// Sets the number of entries by which limits of the whole deployment are divided; 0 if
    /// unknown.
    void setEntryCount(std::size_t count) { m_entryCount = count; }

    /// Chooses a target for the request, or refuses it with a reason and a time for the retry.
    Placement place(const PlacementQuery &query, MonotonicTime now);
    /// Called when a placed request is sent to the target.
    void onSent(const TargetId &target, MonotonicTime now);
    /// Called when a response carries the load of the target, before onEnded() of the same request.
    void onReport(const TargetId &target, const LoadReport &report, MonotonicTime now);
    /// Called when the target process with this start time announces that it is leaving. No more
    /// requests are sent to the process.
    void onLeavingAnnounced(const TargetId &target, std::uint64_t startTimeMs);
    /// Returns the targets that have announced that they are leaving since the last call, for
    /// TargetRegistry::onLeavingAnnounced().
    std::vector<LeavingTarget> takeLeavingTargets() { return std::exchange(m_leaving, {}); }
    /// Called when an overloaded target asks for no requests for the stated time (Retry-After),
    /// before onEnded() of the same request. Returns the backoff applied: the stated time, bounded
    /// below by 0 and above by a fixed maximum.
    milliseconds onBackoffRequested(const TargetId &target, milliseconds stated, MonotonicTime now);
    /// Called with the limit in a response of the target process with this start time, nothing if
    /// the response states none.
    void onLimitStated(const TargetId &target, std::uint64_t startTimeMs,
                       std::optional<RequestRate> rate, MonotonicTime now);
    /// Called when a response of the target states a limit that cannot be read.
    void onLimitMalformed(const TargetId &target) { m_limits->onMalformed(target); }
    /// Called when a sent request has ended. The duration is the time from sending to the response
    /// head; it is used as a measurement only if the target answered and the request was not
    /// expected to wait.
    void onEnded(const TargetId &target, const RouteName &route, SendOutcome outcome,
                 microseconds duration, bool hadToWait, MonotonicTime now);
    /// Called with the size of each complete response of the route.
    void onResponseSize(const RouteName &route, ByteCount bytes);
    /// Returns the state of a target; null if unknown.
    const KnownTarget *findTarget(const TargetId &id) const;
    /// Whether the target, which was chosen some time ago, still accepts requests.
    bool stillAccepts(const TargetId &id, MonotonicTime now) const;
    /// Returns the targets that were ejected because of failures, or readmitted, since the last
    /// call.
    std::vector<TargetChange> takeTargetChanges() { return std::exchange(m_changes, {}); }
    /// Returns the mean time from sending to the response head on the route; before the first
    /// response, a fixed fraction of the latency goal.
    microseconds expectedProcessingTime(const Route &route) const;
    /// Returns the number of targets that may get requests (TargetAvailability::Ready).
    std::size_t readyTargets() const;
    /// Returns the number of requests of this entry that are at targets.
    std::size_t sendsInProgress() const;

private:
    struct TargetState
    {
        KnownTarget known;
        RegionId region;
        TargetLoad load;
        TargetEjection ejection;
        /// End of the backoff that the target has requested.
        MonotonicTime backoffUntil;
        RetryReservations reservations;
    };
    using States = std::map<TargetId, TargetState>;
    struct Candidate
    {
        TargetState *state = nullptr;
        microseconds wait{ 0 };
        microseconds processingTime{ 0 };
        /// Remaining backoff requested by the target; no request is sent before its end.
        microseconds backoff{ 0 };
    };

    /// Returns the targets that the request may be sent to, in order of preference; the first ones
    /// are the object's affinity targets.
    std::vector<Candidate> candidatesFor(const PlacementQuery &query, MonotonicTime now);
    /// Refuses a request for which candidatesFor() has found no target.
    Placement refuseWithoutCandidates(const PlacementQuery &query, MonotonicTime now) const;
    bool hasLargeResponses(const RouteName &route) const;
    bool isUsable(const TargetState &state, const PlacementQuery &query) const;
    bool isCold(const TargetState &state, MonotonicTime now) const;
    static microseconds remainingBackoff(const TargetState &state, MonotonicTime now);
    bool needsPermit(const TargetState &state, MonotonicTime now) const;
    /// Whether the target needs no permit, or may have one for the request.
    bool isPermitPossible(const TargetState &state, const PlacementQuery &query,
                          MonotonicTime now) const;
    /// Whether ejected targets are skipped. They are skipped only while few of the service's
    /// targets are ejected.
    bool appliesEjections(MonotonicTime now) const;
    Candidate makeCandidate(TargetState &state, const Route &route, MonotonicTime now) const;
    /// Whether a candidate is expected to respond so much sooner than one earlier in the ranking
    /// that it is preferred although the object is less likely to be in its cache.
    static bool isMuchSooner(const Candidate &candidate, const Candidate &earlier);
    WaitLimit waitLimitFor(const PlacementQuery &query, MonotonicTime now);
    /// Returns a refusal with the retry time that RefusalPolicy assigns.
    Placement refuse(RefusalReason reason, const std::vector<Candidate> &candidates,
                     const PlacementQuery &query, const WaitLimit &limit, MonotonicTime now) const;

    EntryLocality m_locality;
    HostedService m_service;
    DispatchOptions m_options;
    std::shared_ptr<TargetLimits> m_limits;
    WaitLimits m_waitLimits;
    std::size_t m_entryCount = 0;
    States m_targets;
    TargetRanking m_ranking;
    /// The targets in m_ranking, by their position there.
    std::vector<TargetState *> m_rankedTargets;
    /// Targets that have been ejected and may still be.
    std::vector<TargetState *> m_ejectedTargets;
    std::vector<TargetChange> m_changes;
    std::vector<LeavingTarget> m_leaving;
    /// Mean processing time of each route's requests, in microseconds.
    std::map<RouteName, double> m_processingTimes;
    /// Mean size of each route's responses, in bytes.
    std::map<RouteName, double> m_responseSizes;
};

} // namespace Tarragon
