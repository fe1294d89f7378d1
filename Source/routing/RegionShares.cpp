#include "routing/RegionShares.h"

#include <algorithm>

namespace Tarragon {

namespace {

double slotsOf(const RegionSlots &slots, const RegionId &region)
{
    const auto it = slots.find(region);
    return it == slots.end() ? 0 : it->second;
}

} // namespace

RegionShares regionShares(const RegionSlots &slots, const std::vector<RegionId> &callerRegions,
                          const RegionId &from)
{
    double total = 0;
    for (const auto &[region, count] : slots) {
        total += count;
    }
    if (total <= 0) {
        return {};
    }
    const double demand = 1.0 / static_cast<double>(std::max<std::size_t>(callerRegions.size(), 1));
    const auto keeps = [&slots, &callerRegions, total, demand](const RegionId &region) {
        const bool sends = std::find(callerRegions.begin(), callerRegions.end(), region)
                           != callerRegions.end();
        return sends ? std::min(demand, slotsOf(slots, region) / total) : 0.0;
    };
    const double kept = keeps(from) / demand;
    RegionShares shares;
    if (kept > 0) {
        shares.emplace_back(from, kept);
    }
    double free = 0;
    for (const auto &[region, count] : slots) {
        free += region == from ? 0 : count / total - keeps(region);
    }
    for (const auto &[region, count] : slots) {
        const double headroom = region == from ? 0 : count / total - keeps(region);
        if (headroom > 0 && kept < 1) {
            shares.emplace_back(region, (1 - kept) * headroom / free);
        }
    }
    if (shares.empty()) {
        shares.emplace_back(from, 1.0);
    }
    return shares;
}

} // namespace Tarragon
