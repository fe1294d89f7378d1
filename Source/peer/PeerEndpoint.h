#pragma once

#include "document/Configuration.h"
#include "peer/DisseminationMessages.h"

#include <vector>

namespace Tarragon {

/// An entry instance and the address at which it serves the Peer interface.
struct PeerEndpoint
{
    PeerIdentity identity;
    Endpoint rpc;

    friend auto operator<=>(const PeerEndpoint &, const PeerEndpoint &) = default;
};

/// Returns the endpoints of all entry instances of a topology.
std::vector<PeerEndpoint> peerEndpoints(const Topology &topology);

} // namespace Tarragon
