#pragma once

#include "base/Ids.h"
#include "base/Units.h"

#include <map>
#include <optional>
#include <set>
#include <vector>

namespace Tarragon {

/// Limits of TargetHealth.
struct TargetHealthOptions
{
    /// Number of consecutive failures, of requests and probes together, that eject a target.
    int failuresToEject = 3;
    /// Duration of the first ejection. Doubles with each ejection that follows soon after the
    /// previous one, up to the maximum.
    microseconds baseEjectionTime{ 5'000'000 };
    microseconds maxEjectionTime{ 60'000'000 };
    /// Time over which a returning target is ramped up to its full weight and slots.
    microseconds coldStartDuration{ 30'000'000 };
    /// Fraction of weight and slots at the start of the ramp.
    double initialRamp = 0.2;
    /// A load report counts less with increasing age, and not at all after this time.
    microseconds loadReportLifetime{ 5'000'000 };
    /// Minimum weight that a load report can cause. Load reports can be misleading, so they never
    /// exclude a target.
    double minLoadWeight = 0.25;
};

/// Weight of a target in the choice of targets, and the fraction of its slots that may be used (see
/// SlotLedger::setCondition()).
struct TargetCondition
{
    /// 0 for an ejected target, otherwise up to 1.
    double weight = 1;
    /// Fraction of the slots that may be used.
    double ramp = 1;
    bool ejected = false;
};

/// Tracks the health of the targets of one failure domain from the results of requests, probes and
/// load reports, and ejects failing targets: they are sent no requests for some time. At most half
/// of the targets of a service are ejected at a time: if more fail, the cause is more likely common
/// to all, and the remaining targets would be overloaded.
class TargetHealth
{
public:
    explicit TargetHealth(const TargetHealthOptions &options = {});

    /// Sets the targets. Known ones keep their state. New ones start at full weight.
    void setTargets(const std::map<TargetId, ServiceId> &targets);

    /// Records that a request ended with a response that shows that the target works.
    void onSuccess(const TargetId &target, MonotonicTime now);
    /// Records that a request failed because of the target: connection failure, timeout or server
    /// error.
    void onFailure(const TargetId &target, MonotonicTime now);
    /// Records the result of a probe. A failed probe counts as a failure and prolongs an ejection;
    /// a passed probe changes nothing.
    void onProbe(const TargetId &target, bool passed, MonotonicTime now);
    /// Records the load reported by the target, from 0 to 1, and the age of the measurement on
    /// receipt.
    void onLoadReport(const TargetId &target, double load, microseconds age, MonotonicTime now);
    /// Records that the target has returned from a stop or has just started, with cold caches.
    void onReturn(const TargetId &target, MonotonicTime now);

    TargetCondition condition(const TargetId &target, MonotonicTime now) const;
    /// Returns the number of ejected targets of a service.
    int ejectedCount(const ServiceId &service, MonotonicTime now) const;

private:
    struct State
    {
        ServiceId service;
        int failures = 0;
        int ejections = 0;
        std::optional<MonotonicTime> ejectedAt;
        MonotonicTime ejectedUntil;
        std::optional<MonotonicTime> rampSince;
        double load = 0;
        std::optional<MonotonicTime> loadMeasuredAt;
    };

    void countFailure(State &state, MonotonicTime now);
    bool isEjected(const State &state, MonotonicTime now) const;
    std::optional<MonotonicTime> rampStart(const State &state, MonotonicTime now) const;

    TargetHealthOptions m_options;
    std::map<TargetId, State> m_states;
};

} // namespace Tarragon
