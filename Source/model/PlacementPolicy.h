#pragma once

#include "routing/ServiceDispatcher.h"

#include <concepts>

namespace Tarragon {

/// What places the requests of one service at one entry. ServiceDispatcher is the one that entries
/// run; others serve for comparison.
template<typename Policy>
concept PlacementPolicy = requires(Policy &policy, const PlacementQuery &query,
                                   const TargetId &target, const TargetRegistry::Targets &targets,
                                   const LoadReport &report, const RouteName &route,
                                   SendOutcome outcome, microseconds duration, std::size_t count,
                                   MonotonicTime now)
{
    {
        policy.place(query, now)
        } -> std::same_as<Placement>;
    policy.setTargets(targets, now);
    policy.setEntryCount(count);
    policy.onSent(target, now);
    policy.onReport(target, report, now);
    policy.onEnded(target, route, outcome, duration, true, now);
};

} // namespace Tarragon
