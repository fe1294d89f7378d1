#pragma once

#include "model/LoadResult.h"

#include <string>

namespace Tarragon {

/// Returns an SVG image of the median and 99th percentile latency of answered requests over time.
std::string plotTimes(const LoadResult &result);

/// Returns an SVG image of the utilization of slots over time, with one line for each region.
std::string plotUtilization(const LoadResult &result);

} // namespace Tarragon
