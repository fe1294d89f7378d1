#pragma once

#include "base/Ids.h"
#include "base/Versions.h"
#include "entry/ClaimService.h"
#include "entry/ServingState.h"
#include "entry/Settings.h"
#include "net/EventLoop.h"
#include "peer/ConfigurationFeed.h"
#include "peer/PeerNetwork.h"
#include "peer/PeerServer.h"
#include "platform/ObjectStoreClient.h"
#include "steering/DrainState.h"
#include "steering/Membership.h"

#include <cstdint>
#include <map>
#include <memory>
#include <vector>

namespace Tarragon {

/// Exchanges heartbeats, slot grants and at-most-once records with the other entries, and the
/// configuration through the feed. Maintains the membership and passes it to the serving state.
class PeerCoordinator
{
public:
    /// Listens for RPC on the address of the settings. Throws Error if that fails.
    PeerCoordinator(EventLoop &loop, const Settings &settings, Incarnation incarnation,
                    ServingState &state, ObjectStoreClient &store, DrainState &drain);
    ~PeerCoordinator();
    PeerCoordinator(const PeerCoordinator &) = delete;
    PeerCoordinator &operator=(const PeerCoordinator &) = delete;

    ConfigurationFeed &feed() { return m_feed; }
    Membership &membership() { return m_membership; }
    ClaimService &claims() { return m_claims; }
    /// Announces in heartbeats that this entry accepts no new callers.
    void announceLeaving();
    /// State of another entry as of its last heartbeat, for the status.
    struct PeerReport
    {
        Generation generation;
        PlanVersion plan;
        MonotonicTime lastHeartbeatAt;
        bool isLeaving = false;
    };
    const std::map<InstanceId, PeerReport> &reports() const { return m_reports; }
    /// Returns the number of other entries from which a heartbeat arrived within the heartbeat
    /// timeout of the membership.
    std::size_t reachablePeers() const;

private:
    static std::vector<PeerEndpoint> endpointsOf(const Settings &settings);

    void onAdopted(const ConfigurationPtr &configuration);
    void fillHeartbeat(PeerRpc::Heartbeat::Builder heartbeat, const InstanceId &to);
    void onHeartbeat(PeerRpc::Heartbeat::Reader heartbeat);
    /// Returns the own failure domain; null before the first configuration, or if the document does
    /// not contain it.
    const FailureDomain *ownDomain() const;
    /// Whether the instance is another entry of the own failure domain.
    bool isNeighbour(const InstanceId &instance) const;
    void sendSlotRequests();
    /// Counts the slot reports to neighbours without a connection as sent and lost.
    void recordUnsentReports();
    void sendRegistryMessage(const RegistryMessage &message);
    void flushRegistryMessages();
    void refreshMembership();
    EntryState entryState(const InstanceId &instance, const FailureDomainId &domain,
                          MonotonicTime now) const;
    void chooseBackup();
    void readInstanceList();
    void onInstanceList(const InstanceListing &listing);

    EventLoop &m_loop;
    const Settings &m_settings;
    Incarnation m_incarnation;
    ServingState &m_state;
    ObjectStoreClient &m_store;
    DrainState &m_drain;
    PeerNetwork m_network;
    ConfigurationFeed m_feed;
    Membership m_membership;
    ClaimService m_claims;
    std::unique_ptr<PeerServer> m_server;
    std::map<InstanceId, PeerReport> m_reports;
    /// Registry messages to send in the next iteration of the event loop, so that one call carries
    /// all messages for an entry.
    std::map<InstanceId, std::vector<RegistryPayload>> m_outbox;
    bool m_isLeaving = false;
    /// Set to false by the destructor, so that replies that arrive later are ignored.
    std::shared_ptr<bool> m_isAlive = std::make_shared<bool>(true);
    Timer m_slotTimer;
    Timer m_claimTimer;
    Timer m_membershipTimer;
    Timer m_reportTimer;
    Timer m_listTimer;
    Timer m_flushTimer;
};

} // namespace Tarragon
