#pragma once

#include "net/MemoryBudget.h"

#include <string>

namespace Tarragon {

/// Returns the counts as metrics in the text format of Prometheus. The names start with the prefix.
std::string memoryMetricsText(const std::string &prefix, const MemoryBudgetCounts &counts);

} // namespace Tarragon
