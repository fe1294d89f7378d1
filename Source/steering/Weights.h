#pragma once

#include "base/Ids.h"
#include "base/Units.h"

#include <map>

namespace Tarragon {

/// Share of each serving region in the traffic of one caller region.
using WeightRow = std::map<RegionId, Share>;

/// The rows of one service by caller region.
using ServiceWeights = std::map<RegionId, WeightRow>;

/// The rows of all services.
using Weights = std::map<ServiceId, ServiceWeights>;

/// Sum of the shares of a row.
Share totalOf(const WeightRow &row);

/// Share of a region in a row; zero if the row does not name it.
Share shareOf(const WeightRow &row, const RegionId &region);

} // namespace Tarragon
