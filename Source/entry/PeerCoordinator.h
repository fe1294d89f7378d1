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

/// What an entry exchanges with the other entries: heartbeats, slots, at-most-once records, and
/// through the feed the configuration. Keeps the membership and hands it to the serving state.
class PeerCoordinator
{
public:
    /// Listens for RPC on the settings' address. Throws Error if that fails.
    PeerCoordinator(EventLoop &loop, const Settings &settings, Incarnation incarnation,
                    ServingState &state, ObjectStoreClient &store, DrainState &drain);
    ~PeerCoordinator();
    PeerCoordinator(const PeerCoordinator &) = delete;
    PeerCoordinator &operator=(const PeerCoordinator &) = delete;

    ConfigurationFeed &feed() { return m_feed; }
    Membership &membership() { return m_membership; }
    ClaimService &claims() { return m_claims; }
    /// Tells the others in heartbeats that this entry takes no new callers.
    void announceLeaving();
    /// What is known of another entry, for the status.
    struct PeerReport
    {
        Generation generation;
        PlanVersion plan;
        MonotonicTime heardAt;
        bool isLeaving = false;
    };
    const std::map<InstanceId, PeerReport> &reports() const { return m_reports; }
    /// Other entries heard from within the membership's silence.
    std::size_t reachablePeers() const;

private:
    static std::vector<PeerEndpoint> endpointsOf(const Settings &settings);

    void onAdopted(const ConfigurationPtr &configuration);
    void fillHeartbeat(PeerRpc::Heartbeat::Builder heartbeat, const InstanceId &to);
    void onHeartbeat(PeerRpc::Heartbeat::Reader heartbeat);
    /// The own failure domain; null before the first configuration, or if the document does not
    /// name it.
    const FailureDomain *ownDomain() const;
    bool isNeighbour(const InstanceId &instance) const;
    void sendSlotRequests();
    void reportToUnreachable();
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
    /// Registry messages that wait for the end of the present turn, so that one call carries all
    /// for an entry.
    std::map<InstanceId, std::vector<RegistryPayload>> m_outbox;
    bool m_isLeaving = false;
    /// Lets answers that come after this object's end go nowhere.
    std::shared_ptr<bool> m_isAlive = std::make_shared<bool>(true);
    Timer m_slotTimer;
    Timer m_claimTimer;
    Timer m_memberTimer;
    Timer m_reportTimer;
    Timer m_listTimer;
    Timer m_flushTimer;
};

} // namespace Tarragon
