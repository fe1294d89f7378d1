#include "peer/PeerEndpoint.h"

namespace Tarragon {

std::vector<PeerEndpoint> peerEndpoints(const Topology &topology)
{
    std::vector<PeerEndpoint> endpoints;
    for (const auto &[id, domain] : topology.domains) {
        for (const EntrySeat &entry : domain.entries)
            endpoints.push_back(PeerEndpoint{ PeerIdentity{ entry.id, id }, entry.rpc });
    }
    return endpoints;
}

} // namespace Tarragon
