#pragma once

#include "base/Ids.h"

#include <initializer_list>
#include <vector>

namespace Tarragon {

/// Regions in which requests may be handled: all, or those of a list.
class RegionSet
{
public:
    /// All regions.
    RegionSet() = default;
    /// The listed regions; an empty list means all.
    explicit RegionSet(std::vector<RegionId> regions);
    RegionSet(std::initializer_list<RegionId> regions);

    bool contains(const RegionId &region) const;
    /// Whether some region may be in both sets.
    bool intersects(const RegionSet &other) const;

private:
    /// Empty if all regions are contained.
    std::vector<RegionId> m_regions;
};

} // namespace Tarragon
