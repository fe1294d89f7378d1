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
    /// Failures in a row, of requests and probes together, that eject a target.
    int failuresToEject = 3;
    /// First ejection; doubles with each one that follows soon after, up to the longest.
    microseconds ejection{ 5'000'000 };
    microseconds longestEjection{ 60'000'000 };
    /// Time over which a returning target gets its full weight and slots.
    microseconds coldStart{ 30'000'000 };
    /// Part of weight and slots at the start of the ramp.
    double initialRamp = 0.2;
    /// A load report counts less with age and not at all after this time.
    microseconds loadReportLife{ 5'000'000 };
    /// Smallest weight that a load report can cause. Reports mislead, so they never exclude.
    double leastLoadWeight = 0.25;
};

/// What the choice of a target and the ledger use.
struct TargetCondition
{
    /// 0 for an ejected target, otherwise up to 1.
    double weight = 1;
    /// Part of the slots that may be used.
    double ramp = 1;
    bool ejected = false;
};

/// Health of the targets of one failure domain, from the results of requests, probes and load
/// reports. Of the targets of a service at most half are ejected at a time: if more fail, the cause
/// is more likely common to all, and the remaining targets would be overloaded.
class TargetHealth
{
public:
    explicit TargetHealth(const TargetHealthOptions &options = {});

    /// Sets the targets. Known ones keep their state. New ones start at full weight.
    void setTargets(const std::map<TargetId, ServiceId> &targets);

    /// A request ended with a response that shows the target at work.
    void onSuccess(const TargetId &target, MonotonicTime now);
    /// A request failed by the target's fault: connection, timeout or server error.
    void onFailure(const TargetId &target, MonotonicTime now);
    /// A probe that fails counts as a failure and prolongs an ejection; one that passes changes
    /// nothing.
    void onProbe(const TargetId &target, bool passed, MonotonicTime now);
    /// Load as reported by the service, 0 to 1, and the age of the measurement on receipt.
    void onLoadReport(const TargetId &target, double load, microseconds age, MonotonicTime now);
    /// The target is back from a stop or has just started, with cold caches.
    void onReturn(const TargetId &target, MonotonicTime now);

    TargetCondition condition(const TargetId &target, MonotonicTime now) const;
    /// Number of ejected targets of a service.
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

    void fail(State &state, MonotonicTime now);
    bool isEjected(const State &state, MonotonicTime now) const;
    std::optional<MonotonicTime> rampStart(const State &state, MonotonicTime now) const;

    TargetHealthOptions m_options;
    std::map<TargetId, State> m_states;
};

} // namespace Tarragon
