#include "steering/ConfiguredWeights.h"

#include <algorithm>
#include <set>

namespace Tarragon {

namespace {

std::map<RegionId, RegionId> nearestServingRegions(const Topology &topology)
{
    std::set<RegionId> serving;
    for (const auto &[id, domain] : topology.domains) {
        if (!domain.entries.empty()) {
            serving.insert(domain.region);
        }
    }
    std::map<RegionId, RegionId> nearest;
    std::map<RegionId, milliseconds> delays;
    for (const RegionLink &it : topology.links) {
        const auto known = delays.find(it.from);
        if (serving.count(it.to) > 0 && (known == delays.end() || it.oneWayDelay < known->second)) {
            delays[it.from] = it.oneWayDelay;
            nearest[it.from] = it.to;
        }
    }
    for (const RegionId &it : serving) {
        nearest[it] = it;
    }
    return nearest;
}

WeightRow scaledToWhole(const WeightRow &row)
{
    const std::int64_t total = totalOf(row).partsPerMillion;
    if (total <= 0) {
        return {};
    }
    WeightRow scaled;
    std::int64_t rest = Share::whole().partsPerMillion;
    for (const auto &[region, share] : row) {
        const std::int64_t part = share.partsPerMillion * Share::whole().partsPerMillion / total;
        if (part > 0) {
            scaled[region].partsPerMillion = part;
            rest -= part;
        }
    }
    // Rounding down loses less than one part per million for each region. The sum of these is added
    // to the largest share.
    const auto largest =
            std::max_element(scaled.begin(), scaled.end(),
                             [](const auto &a, const auto &b) { return a.second < b.second; });
    if (largest != scaled.end()) {
        largest->second.partsPerMillion += rest;
    }
    return scaled;
}

} // namespace

Weights configuredWeights(const Configuration &configuration)
{
    const std::map<RegionId, RegionId> nearest = nearestServingRegions(configuration.topology);
    Weights weights;
    for (const auto &[id, service] : configuration.services) {
        ServiceWeights &rows = weights[id];
        for (const auto &[caller, region] : configuration.topology.regions) {
            const auto configured = service.weights.find(caller);
            WeightRow row;
            if (configured != service.weights.end()) {
                row = scaledToWhole(configured->second);
            }
            const auto own = nearest.find(caller);
            if (row.empty() && own != nearest.end()) {
                row.emplace(own->second, Share::whole());
            }
            if (!row.empty()) {
                rows.emplace(caller, row);
            }
        }
    }
    return weights;
}

} // namespace Tarragon
