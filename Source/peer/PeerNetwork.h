#pragma once

#include "peer/PeerClient.h"
#include "peer/PeerEndpoint.h"

#include <map>
#include <memory>
#include <vector>

namespace Tarragon {

/// Owns the connections to the other entries. A connection is made on first use, so that an
/// instance has connections only to the entries that it calls.
class PeerNetwork
{
public:
    PeerNetwork(EventLoop &loop, InstanceId self, std::uint64_t seed);

    /// Replaces the list of all instances. Connections to instances that were removed or whose
    /// endpoint has changed are closed from the event loop.
    void setPeers(const std::vector<PeerEndpoint> &peers);
    const std::vector<PeerEndpoint> &peers() const { return m_peers; }
    /// Returns the client for an instance and creates it on first use. Returns null for an unknown
    /// instance and for this one.
    PeerClient *client(const InstanceId &instance);
    /// Returns the number of connections that are established or being established.
    std::size_t connections() const { return m_clients.size(); }

private:
    struct Connection
    {
        Endpoint rpc;
        std::unique_ptr<PeerClient> client;
    };

    EventLoop &m_loop;
    InstanceId m_self;
    std::uint64_t m_seed;
    std::vector<PeerEndpoint> m_peers;
    std::map<InstanceId, Connection> m_clients;
    /// Clients to be destroyed by m_cleanup, since setPeers() may run in a callback of one of them.
    std::vector<std::unique_ptr<PeerClient>> m_removed;
    Timer m_cleanup;
};

} // namespace Tarragon
