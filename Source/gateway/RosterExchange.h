#pragma once

#include "net/EventLoop.h"
#include "peer/PeerNetwork.h"
#include "peer/PeerServer.h"
#include "routing/EntryRoster.h"

#include <memory>
#include <vector>

namespace Tarragon {

/// Exchanges with other entries what is known of the life of all, over RPC.
class RosterExchange
{
public:
    /// Listens on the endpoint, also for the calls of the given handlers. Throws Error if it
    /// cannot. Needs the thread's RpcRuntime.
    RosterExchange(EventLoop &loop, EntryRoster &roster, const Endpoint &rpc, std::uint64_t seed,
                   PeerHandlers handlers);

    /// Takes the registered entries.
    void setRecords(const std::vector<EntryRecord> &records);
    /// Tells all entries at once, because this one's state has changed.
    void announce();
    std::uint16_t port() const { return m_server->port(); }
    /// The connection to a registered entry; null for any other.
    PeerClient *client(const InstanceId &instance) { return m_network.client(instance); }

private:
    void round();
    void exchangeWith(const InstanceId &instance);
    void merge(capnp::List<PeerRpc::RosterItem>::Reader list);

    EventLoop &m_loop;
    EntryRoster &m_roster;
    PeerNetwork m_network;
    std::unique_ptr<PeerServer> m_server;
    Timer m_timer;
};

} // namespace Tarragon
