#pragma once

#include "peer/PeerClient.h"
#include "peer/PeerEndpoint.h"

#include <map>
#include <memory>
#include <vector>

namespace Tarragon {

/// The connections to all other entries. One is made when it is first used, so that an instance
/// holds connections only to those that it talks to.
class PeerNetwork
{
public:
    PeerNetwork(EventLoop &loop, InstanceId self, std::uint64_t seed);

    /// Takes all instances. Connections to instances that are gone or have moved are closed from
    /// the loop.
    void setPeers(const std::vector<PeerEndpoint> &peers);
    const std::vector<PeerEndpoint> &peers() const { return m_peers; }
    /// The connection to an instance, begun now if there is none; null for an unknown instance.
    PeerClient *client(const InstanceId &instance);
    /// Connections that stand or are being made.
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
    std::vector<std::unique_ptr<PeerClient>> m_removed;
    Timer m_cleanup;
};

} // namespace Tarragon
