#include "routing/RegionSet.h"

#include <algorithm>
#include <utility>

namespace Tarragon {

RegionSet::RegionSet(std::vector<RegionId> regions)
    : m_regions(std::move(regions))
{}

RegionSet::RegionSet(std::initializer_list<RegionId> regions)
    : m_regions(regions)
{}

bool RegionSet::contains(const RegionId &region) const
{
    return m_regions.empty()
           || std::find(m_regions.begin(), m_regions.end(), region) != m_regions.end();
}

bool RegionSet::intersects(const RegionSet &other) const
{
    return m_regions.empty() || other.m_regions.empty()
           || std::any_of(m_regions.begin(), m_regions.end(),
                          [&other](const RegionId &it) { return other.contains(it); });
}

} // namespace Tarragon
