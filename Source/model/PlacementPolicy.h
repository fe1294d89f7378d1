#pragma once

#include "routing/ServiceDispatcher.h"

#include <concepts>

namespace Tarragon {

/// Requirements on a class that selects targets for the requests of one service at one entry.
/// Entries run ServiceDispatcher; other policies serve for comparison in simulations.
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
    policy.setTargets(targets);
    policy.setEntryCount(count);
    policy.onSent(target, now);
    policy.onReport(target, report, now);
    policy.onEnded(target, route, outcome, duration, true, now);
};

} // namespace Tarragon
