#pragma once

#include "base/Ids.h"

#include <map>
#include <utility>
#include <vector>

namespace Tarragon {

/// Number of slots of a service's available targets in each region.
using RegionSlots = std::map<RegionId, double>;

/// Fractions of one region's requests that go to each region. The fractions sum to 1; the list is
/// empty if no region has slots.
using RegionShares = std::vector<std::pair<RegionId, double>>;

/// Splits the requests of the region `from` over all regions so that the load per slot is equal
/// everywhere if all caller regions send equally many requests, and as many requests as possible
/// stay in their own region. The fractions depend on the slots only: demand on the sites served
/// changes within seconds, and fractions that followed it would move more of a region's requests at
/// a time than operators allow.
RegionShares regionShares(const RegionSlots &slots, const std::vector<RegionId> &callerRegions,
                          const RegionId &from);

} // namespace Tarragon
