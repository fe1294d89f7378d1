#include "routing/PartChooser.h"

#include <algorithm>

namespace Tarragon {

const ServiceId &PartChooser::next(const Route &route)
{
    if (route.parts.size() == 1) {
        return route.parts.front().service;
    }
    std::vector<double> &credits = m_creditsByRoute[route.name];
    credits.resize(route.parts.size(), 0);
    double total = 0;
    for (const ServicePart &it : route.parts) {
        total += it.weight;
    }
    for (std::size_t i = 0; i < credits.size(); ++i) {
        credits[i] += total > 0 ? route.parts[i].weight / total : 0;
    }
    const auto best = std::max_element(credits.begin(), credits.end());
    *best -= 1;
    return route.parts[static_cast<std::size_t>(best - credits.begin())].service;
}

} // namespace Tarragon
