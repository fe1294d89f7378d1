#pragma once

#include "document/Configuration.h"
#include "peer/Dissemination.h"
#include "peer/PeerHandlers.h"
#include "peer/PeerNetwork.h"
#include "platform/ObjectStoreClient.h"

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace Tarragon {

/// Keeps this instance on the newest configuration and plan. Executes the actions that
/// Dissemination returns: calls the store and the other entries, passes their results back and
/// emits signals when a version comes into force.
class ConfigurationFeed
{
public:
    /// Period at which Dissemination is polled when no message or result arrives.
    static constexpr microseconds TickPeriod{ 100'000 };

    /// Starts with the peers named in the settings; the topology of each configuration in force
    /// replaces them. The store, the network and the loop must outlive the feed.
    ConfigurationFeed(EventLoop &loop, ObjectStoreClient &store, PeerNetwork &network,
                      PeerIdentity self, const std::vector<PeerEndpoint> &peers,
                      const DisseminationOptions &options, std::uint64_t seed);
    ~ConfigurationFeed();
    ConfigurationFeed(const ConfigurationFeed &) = delete;
    ConfigurationFeed &operator=(const ConfigurationFeed &) = delete;

    /// Emitted when a configuration of a higher generation comes into force.
    sigc::signal<void(const ConfigurationPtr &, const Head &, const SectionTexts &)> &adopted()
    {
        return m_adopted;
    }
    /// Emitted when a plan of a higher version comes into force, with its JSON text and version.
    sigc::signal<void(const std::string &, PlanVersion)> &planAdopted() { return m_planAdopted; }
    /// Emitted for each heartbeat received, as a call or as a reply.
    sigc::signal<void(PeerRpc::Heartbeat::Reader)> &heartbeatReceived()
    {
        return m_heartbeatReceived;
    }

    /// Sets the function that fills the fields of outgoing heartbeats that the feed does not set:
    /// incarnation, state, load, weights and shares. Its second argument is the receiver, empty if
    /// the heartbeat is the reply to a call.
    void
    setHeartbeatSource(sigc::slot<void(PeerRpc::Heartbeat::Builder, const InstanceId &)> source)
    {
        m_heartbeatSource = std::move(source);
    }
    /// Sets the handlers heartbeat, fetchHead, fetchSection, fetchPlan and offer.
    void serve(PeerHandlers &handlers);

    /// Puts a document into force after this instance's conditional update of config/head in the
    /// store has succeeded, and offers it to other entries.
    void acceptLocally(const Head &head, const SectionTexts &texts);
    /// Puts a plan into force after this instance's conditional update of plan/current in the store
    /// has succeeded with this version, and offers it to other entries.
    void acceptPlanLocally(PlanVersion version, const std::string &json);

    /// Returns the versions in force on this instance; 0 means none.
    FeedVersions versions() const { return m_dissemination.versions(); }
    /// Returns the configuration in force, or null before the first one.
    const ConfigurationPtr &configuration() const { return m_configuration; }
    /// Whether this instance's last call to the store succeeded.
    bool isStoreReachable() const { return m_dissemination.report().storeReachable; }
    /// Whether this instance is one of those that watch the store for its failure domain.
    bool isWatcher() const { return m_dissemination.isWatcher(m_loop.now()); }
    /// Returns the number of calls made to the store since construction.
    std::uint64_t storeCalls() const { return m_storeCalls; }

private:
    void setPeers(const std::vector<PeerEndpoint> &peers);
    void perform(const FeedActions &actions);
    void carryOut(const SendHeartbeat &action);
    void carryOut(const SendOffer &action);
    void carryOut(const FetchItem &action);
    void carryOut(const FetchSection &action);
    void carryOut(const AdoptConfiguration &action);
    void carryOut(const AdoptPlan &action);
    void readStore(const FetchItem &action);
    void getFromStore(const FetchItem &action);
    void onStoredItem(const FetchItem &action, const StoredObject &object);
    void onItem(std::uint64_t number, const FetchedItem &item);
    void onSection(std::uint64_t number, const SectionName &name,
                   const std::optional<std::string> &text);
    void fillHeartbeat(PeerRpc::Heartbeat::Builder heartbeat, const InstanceId &to);
    void onHeartbeat(PeerRpc::Heartbeat::Reader heartbeat);
    void onOffer(PeerRpc::Peer::OfferParams::Reader offer);

    EventLoop &m_loop;
    ObjectStoreClient &m_store;
    PeerNetwork &m_network;
    PeerIdentity m_self;
    DisseminationOptions m_options;
    Dissemination m_dissemination;
    ConfigurationPtr m_configuration;
    /// JSON of the head in force, serialized once for all peers that fetch the head.
    std::string m_headJson;
    /// Store revision after which the next watch of each item starts.
    std::map<FeedItem, StoreRevision> m_revisions;
    std::uint64_t m_storeCalls = 0;
    sigc::signal<void(const ConfigurationPtr &, const Head &, const SectionTexts &)> m_adopted;
    sigc::signal<void(const std::string &, PlanVersion)> m_planAdopted;
    sigc::signal<void(PeerRpc::Heartbeat::Reader)> m_heartbeatReceived;
    sigc::slot<void(PeerRpc::Heartbeat::Builder, const InstanceId &)> m_heartbeatSource;
    /// Shared with callbacks; false once the feed is destroyed, so that late replies are ignored.
    std::shared_ptr<bool> m_isAlive = std::make_shared<bool>(true);
    Timer m_tick;
};

} // namespace Tarragon
