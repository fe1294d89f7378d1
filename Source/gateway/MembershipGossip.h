#pragma once

#include "net/EventLoop.h"
#include "peer/PeerNetwork.h"
#include "peer/PeerServer.h"
#include "routing/EntryMembership.h"
#include "routing/SuspectRequests.h"
#include "routing/TargetLimits.h"

#include <memory>
#include <vector>

namespace Tarragon {

/// Gossips the membership of the entries over RPC: exchanges this entry's view of all entries'
/// heartbeats with other entries, the limits of targets that have changed lately, and what is known
/// about requests under suspicion.
class MembershipGossip
{
public:
    /// Listens on the RPC endpoint, and also serves the calls of the given handlers there. Throws
    /// Error if listening fails. Requires the thread's RpcRuntime.
    MembershipGossip(EventLoop &loop, EntryMembership &membership, TargetLimits &limits,
                     SuspectRequests &suspects, const Endpoint &rpc, std::uint64_t seed,
                     PeerHandlers handlers);

    /// Sets the registered entries as members and as peers.
    void setRecords(const std::vector<EntryRecord> &records);
    /// Exchanges with all responsive entries immediately, because the state of this entry has
    /// changed.
    void announce();
    std::uint16_t port() const { return m_server->port(); }
    /// Returns the connection to a registered entry; null for any other.
    PeerClient *client(const InstanceId &instance) { return m_network.client(instance); }

private:
    void runGossipRound();
    void exchangeWith(const InstanceId &instance);
    void merge(capnp::List<PeerRpc::RosterItem>::Reader list);
    void merge(capnp::List<PeerRpc::TargetLimitItem>::Reader list);
    void merge(capnp::List<PeerRpc::SuspectItem>::Reader list);

    EventLoop &m_loop;
    EntryMembership &m_membership;
    TargetLimits &m_limits;
    SuspectRequests &m_suspects;
    PeerNetwork m_network;
    std::unique_ptr<PeerServer> m_server;
    Timer m_timer;
};

} // namespace Tarragon
