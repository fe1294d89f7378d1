#pragma once

#include "base/Ids.h"
#include "base/Units.h"

namespace Tarragon {

/// Limit on moving a service's traffic from one region to another.
struct ShiftCap
{
    ServiceId service;
    RegionId from;
    RegionId to;
    /// Largest share of the service's traffic that may move within a period.
    Share sharePerPeriod;
    seconds period{ 60 };
    /// Largest data rate of the service over the link.
    Mbps linkRate;
};

} // namespace Tarragon
