#include "routing/WeightedServiceSelector.h"

#include <algorithm>

namespace Tarragon {

const ServiceId &WeightedServiceSelector::nextService(const Route &route)
{
    if (route.weightedServices.size() == 1) {
        return route.weightedServices.front().service;
    }
    std::vector<double> &credits = m_creditsByRoute[route.name];
    credits.resize(route.weightedServices.size(), 0);
    double total = 0;
    for (const WeightedService &it : route.weightedServices) {
        total += it.weight;
    }
    for (std::size_t i = 0; i < credits.size(); ++i) {
        credits[i] += total > 0 ? route.weightedServices[i].weight / total : 0;
    }
    const auto best = std::max_element(credits.begin(), credits.end());
    *best -= 1;
    return route.weightedServices[static_cast<std::size_t>(best - credits.begin())].service;
}

} // namespace Tarragon
