#include "steering/Weights.h"

namespace Tarragon {

Share totalOf(const WeightRow &row)
{
    Share total;
    for (const auto &[region, share] : row) {
        total.partsPerMillion += share.partsPerMillion;
    }
    return total;
}

Share shareOf(const WeightRow &row, const RegionId &region)
{
    const auto it = row.find(region);
    return it == row.end() ? Share{} : it->second;
}

} // namespace Tarragon
