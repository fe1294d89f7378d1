#pragma once

#include "base/Ids.h"

#include <map>

namespace Tarragon {

/// Failure domain and region of an entry, and the region of every failure domain that has entries.
struct EntryLocality
{
    FailureDomainId domain;
    RegionId region;
    std::map<FailureDomainId, RegionId> regionOfDomain;
};

} // namespace Tarragon
