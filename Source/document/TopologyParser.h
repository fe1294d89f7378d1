#pragma once

#include "document/Topology.h"
#include "document/YamlValue.h"

namespace Tarragon {

/// Parses the "topology" section. Faults are added to the findings of the value's context; the
/// result then contains the values that could be parsed, so that other sections can still be
/// checked.
Topology parseTopology(const YamlValue &value);

} // namespace Tarragon
