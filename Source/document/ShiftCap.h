#pragma once

#include "base/Ids.h"
#include "base/Units.h"

namespace Tarragon {

/// Limit on how fast and how much of a service's traffic moves from one region to another.
struct ShiftCap
{
    ServiceId service;
    RegionId from;
    RegionId to;
    /// Maximum share of the service's traffic that may move within one period.
    Share sharePerPeriod;
    seconds period{ 60 };
    /// Maximum data rate of the service on the link between the regions.
    Mbps linkRate;
};

} // namespace Tarragon
