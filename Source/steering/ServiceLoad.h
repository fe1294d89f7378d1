#pragma once

#include "base/Ids.h"
#include "base/Units.h"

#include <map>

namespace Tarragon {

/// Load that the callers of one region put on a service, as last reported.
struct ServiceLoad
{
    /// Mean number of requests running at targets.
    double busySlots = 0;
    /// Rate of request and response bytes.
    Mbps rate;
    /// Time since it was measured.
    milliseconds age{ 0 };
};

/// Load by service and caller region.
using Loads = std::map<ServiceId, std::map<RegionId, ServiceLoad>>;

/// Usable slots by service and serving region. Targets that are stopped or unavailable do not
/// count.
using RegionSlots = std::map<ServiceId, std::map<RegionId, double>>;

} // namespace Tarragon
