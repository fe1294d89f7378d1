#pragma once

#include "document/PlannedStop.h"
#include "document/YamlValue.h"

#include <map>
#include <set>
#include <string>
#include <vector>

namespace Tarragon {

/// Ids that a stop may name, for each kind. A kind that is absent is not checked.
using StoppableIds = std::map<StopKind, std::set<std::string>>;

/// Parses the "stops" section. Faults go to the value's findings.
std::vector<PlannedStop> parseStops(const YamlValue &value, const StoppableIds &ids);

} // namespace Tarragon
