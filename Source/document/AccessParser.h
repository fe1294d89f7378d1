#pragma once

#include "document/AccessRules.h"
#include "document/YamlValue.h"

#include <set>

namespace Tarragon {

/// Parses the "access" section. Every section in `sections` must have an owner, and no other
/// section may have one. Faults are added to the findings of the value's context.
AccessRules parseAccess(const YamlValue &value, const std::set<SectionName> &sections);

} // namespace Tarragon
