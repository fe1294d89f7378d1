#pragma once

#include "document/ShiftCap.h"
#include "document/Topology.h"
#include "document/YamlValue.h"

#include <set>
#include <vector>

namespace Tarragon {

/// Parses the "shifts" section. The services are those that the document has a section for; a null
/// topology means that references to it are not checked. Faults go to the value's findings.
std::vector<ShiftCap> parseShifts(const YamlValue &value, const std::set<ServiceId> &services,
                                  const Topology *topology);

} // namespace Tarragon
