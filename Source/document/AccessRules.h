#pragma once

#include "base/Ids.h"

#include <map>
#include <string>

namespace Tarragon {

/// The "access" section: who may change which section.
struct AccessRules
{
    /// SHA-256 digest of each team's token, as 64 hexadecimal digits.
    std::map<TeamId, std::string> tokenDigests;
    /// Owner of each section.
    std::map<SectionName, TeamId> owners;
};

} // namespace Tarragon
