#pragma once

#include "base/Ids.h"

#include <cstdint>
#include <map>
#include <utility>
#include <vector>

namespace Tarragon {

/// Slots of a service's usable targets in each region.
using RegionSlots = std::map<RegionId, double>;

/// Parts of one region's requests, in the order in which hashes are mapped to them. They sum to 1;
/// empty if no region has slots.
using RegionShares = std::vector<std::pair<RegionId, double>>;

/// Splits the requests of one region over the regions so that all are used equally if all regions
/// send the same, and as many requests as possible stay in their region. The shares depend on the
/// slots only: demand moves within seconds on the sites served, and shares that followed it would
/// move more of a region's requests at a time than operators allow.
RegionShares regionShares(const RegionSlots &slots, const std::vector<RegionId> &callerRegions,
                          const RegionId &from);

/// The region for a hash. Equal hashes stay in their region while the shares stay.
const RegionId &regionForHash(const RegionShares &shares, std::uint64_t hash);

} // namespace Tarragon
