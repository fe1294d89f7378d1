#pragma once

#include "model/LoadResult.h"

#include <string>

namespace Tarragon {

/// Median and 99th percentile of answered requests over time, as an SVG image.
std::string plotTimes(const LoadResult &result);

/// Part of the slots' time in use over time, one line for each region, as an SVG image.
std::string plotUse(const LoadResult &result);

} // namespace Tarragon
