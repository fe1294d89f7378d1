#pragma once

#include "routing/RouteTable.h"

#include <map>
#include <vector>

namespace Tarragon {

/// Distributes the requests of routes with several services by their weights. Each route follows
/// its weights as closely as whole requests allow, so that the shares hold for short spans too.
class PartChooser
{
public:
    /// The service for the next request of the route. The route must have a part.
    const ServiceId &next(const Route &route);
    /// Forgets routes; for a new table.
    void clear() { m_credits.clear(); }

private:
    /// What each part is owed, in requests.
    std::map<RouteName, std::vector<double>> m_credits;
};

} // namespace Tarragon
