#pragma once

#include "base/Ids.h"
#include "base/Units.h"

#include <map>

namespace Tarragon {

/// Share of each serving region in the traffic of the callers of one region.
using WeightRow = std::map<RegionId, Share>;

/// The rows of one service by caller region.
using ServiceWeights = std::map<RegionId, WeightRow>;

/// The rows of all services.
using Weights = std::map<ServiceId, ServiceWeights>;

/// Returns the sum of the shares of a row.
Share totalOf(const WeightRow &row);

/// Returns the share of a region in a row; zero if the row does not name the region.
Share shareOf(const WeightRow &row, const RegionId &region);

} // namespace Tarragon
