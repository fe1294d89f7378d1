#pragma once

#include "document/Configuration.h"
#include "peer/DisseminationMessages.h"

#include <vector>

namespace Tarragon {

/// An entry instance and where it serves the interface Peer.
struct PeerEndpoint
{
    PeerIdentity identity;
    Endpoint rpc;

    friend auto operator<=>(const PeerEndpoint &, const PeerEndpoint &) = default;
};

/// All entry instances of a topology.
std::vector<PeerEndpoint> peerEndpoints(const Topology &topology);

} // namespace Tarragon
