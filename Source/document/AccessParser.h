#pragma once

#include "document/AccessRules.h"
#include "document/YamlValue.h"

#include <set>

namespace Tarragon {

/// Parses the "access" section. Every section of the document must have an owner, and only those.
/// Faults go to the value's findings.
AccessRules parseAccess(const YamlValue &value, const std::set<SectionName> &sections);

} // namespace Tarragon
