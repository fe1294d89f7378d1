#pragma once

#include "routing/RouteTable.h"

#include <map>
#include <vector>

namespace Tarragon {

/// Splits the requests of a route over its weighted services by smooth weighted round-robin. The
/// split follows the weights as closely as whole requests allow, so the fractions are right for
/// short sequences of requests too.
class WeightedServiceSelector
{
public:
    /// Returns the service for the next request of the route. The route must have at least one
    /// weighted service.
    const ServiceId &nextService(const Route &route);
    /// Discards the state of all routes. Called when a new route table is applied.
    void clear() { m_creditsByRoute.clear(); }

private:
    /// Requests that each weighted service of a route should have received so far but has not.
    std::map<RouteName, std::vector<double>> m_creditsByRoute;
};

} // namespace Tarragon
