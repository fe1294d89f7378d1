#pragma once

#include "document/Topology.h"
#include "document/YamlValue.h"

namespace Tarragon {

/// Parses the "topology" section. Faults go to the value's findings; the result then holds what
/// could be read, so that other sections can still be checked against it.
Topology parseTopology(const YamlValue &value);

} // namespace Tarragon
