#pragma once

#include "document/PlannedStop.h"
#include "document/YamlValue.h"

#include <map>
#include <set>
#include <string>
#include <vector>

namespace Tarragon {

/// Ids that a stop of each kind may name. The ids of a kind that is absent are not checked.
using StoppableIds = std::map<StopKind, std::set<std::string>>;

/// Parses the "stops" section. Faults are added to the findings of the value's context.
std::vector<PlannedStop> parseStops(const YamlValue &value, const StoppableIds &ids);

} // namespace Tarragon
