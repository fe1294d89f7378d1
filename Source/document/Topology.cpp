#include "document/Topology.h"

#include <algorithm>

namespace Tarragon {

std::string toString(const Endpoint &endpoint)
{
    return endpoint.address + ":" + std::to_string(endpoint.port);
}

const RegionLink *Topology::findLink(const RegionId &from, const RegionId &to) const
{
    const auto it = std::find_if(links.begin(), links.end(), [&](const RegionLink &link) {
        return link.from == from && link.to == to;
    });
    return it == links.end() ? nullptr : &*it;
}

} // namespace Tarragon
