#pragma once

#include "document/ShiftCap.h"
#include "document/Topology.h"
#include "document/YamlValue.h"

#include <set>
#include <vector>

namespace Tarragon {

/// Parses the "shifts" section. `services` are the services that the document has a section for. If
/// the topology is null, references to it are not checked. Faults are added to the findings of the
/// value's context.
std::vector<ShiftCap> parseShifts(const YamlValue &value, const std::set<ServiceId> &services,
                                  const Topology *topology);

} // namespace Tarragon
