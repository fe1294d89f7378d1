#pragma once

#include "routing/RouteTable.h"

#include <compare>

namespace Tarragon {

/// Order in which requests are served when a service has too little capacity; the smallest is the
/// most urgent. The priority of the workspace precedes that of the route.
struct Urgency
{
    int workspacePriority = 0;
    int routePriority = 0;

    friend constexpr auto operator<=>(const Urgency &, const Urgency &) = default;
};

/// Returns the urgency of a route's requests; `workspace` is null if they have none.
inline Urgency urgencyOf(const Route &route, const Workspace *workspace)
{
    return Urgency{ workspace == nullptr ? 0 : workspace->priority, route.priority };
}

} // namespace Tarragon
