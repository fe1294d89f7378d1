#include "peer/PeerNetwork.h"

#include <algorithm>
#include <utility>

namespace Tarragon {

PeerNetwork::PeerNetwork(EventLoop &loop, InstanceId self, std::uint64_t seed)
    : m_loop(loop)
    , m_self(std::move(self))
    , m_seed(seed)
{}

void PeerNetwork::setPeers(const std::vector<PeerEndpoint> &peers)
{
    m_peers = peers;
    std::map<InstanceId, Endpoint> wanted;
    for (const PeerEndpoint &peer : peers)
        wanted.emplace(peer.identity.id, peer.rpc);
    for (auto it = m_clients.begin(); it != m_clients.end();) {
        const auto found = wanted.find(it->first);
        if (found != wanted.end() && found->second == it->second.rpc) {
            ++it;
            continue;
        }
        m_removed.push_back(std::move(it->second.client));
        it = m_clients.erase(it);
    }
    if (!m_removed.empty())
        m_cleanup = m_loop.schedule(microseconds(0), [this] { m_removed.clear(); });
}

PeerClient *PeerNetwork::client(const InstanceId &instance)
{
    const auto known = m_clients.find(instance);
    if (known != m_clients.end())
        return known->second.client.get();
    const auto it =
            std::find_if(m_peers.begin(), m_peers.end(), [&instance](const PeerEndpoint &peer) {
                return peer.identity.id == instance;
            });
    if (it == m_peers.end() || instance == m_self)
        return nullptr;
    Connection &connection = m_clients[instance];
    connection.rpc = it->rpc;
    connection.client = std::make_unique<PeerClient>(m_loop, it->rpc.address, it->rpc.port,
                                                     m_seed + m_clients.size());
    return connection.client.get();
}

} // namespace Tarragon
