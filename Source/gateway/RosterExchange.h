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
    /// Listens on the endpoint. Throws Error if it cannot. Needs the thread's RpcRuntime.
    RosterExchange(EventLoop &loop, EntryRoster &roster, const Endpoint &rpc, std::uint64_t seed);

    /// Takes the registered entries.
    void setRecords(const std::vector<EntryRecord> &records);
    /// Tells all entries at once, because this one's state has changed.
    void announce();

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
