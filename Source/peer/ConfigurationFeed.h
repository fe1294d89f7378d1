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

/// Keeps the newest configuration and plan of this instance: carries out what Dissemination
/// decides, over the store and the other entries.
class ConfigurationFeed
{
public:
    /// Time between two decisions without an event.
    static constexpr microseconds TickPeriod{ 100'000 };

    /// peers are the instances known from the settings; the topology in force replaces them. The
    /// store, the network and the loop must outlive the feed.
    ConfigurationFeed(EventLoop &loop, ObjectStoreClient &store, PeerNetwork &network,
                      PeerIdentity self, const std::vector<PeerEndpoint> &peers,
                      const DisseminationOptions &options, std::uint64_t seed);
    ~ConfigurationFeed();
    ConfigurationFeed(const ConfigurationFeed &) = delete;
    ConfigurationFeed &operator=(const ConfigurationFeed &) = delete;

    /// Emitted when a greater configuration comes into force.
    sigc::signal<void(const ConfigurationPtr &, const Head &, const SectionTexts &)> &adopted()
    {
        return m_adopted;
    }
    /// Emitted when a greater plan comes into force: its JSON text and version.
    sigc::signal<void(const std::string &, PlanVersion)> &planAdopted() { return m_planAdopted; }
    /// Emitted for each heartbeat received, as request or as answer.
    sigc::signal<void(PeerRpc::Heartbeat::Reader)> &heartbeatReceived() { return m_received; }

    /// Fills what is not the feed's own in a heartbeat to the named instance: incarnation, state,
    /// load, weights and shares. The name is empty in answers.
    void
    setHeartbeatSource(sigc::slot<void(PeerRpc::Heartbeat::Builder, const InstanceId &)> source)
    {
        m_source = std::move(source);
    }
    /// Sets heartbeat, fetchHead, fetchSection, fetchPlan and offer.
    void serve(PeerHandlers &handlers);

    /// This instance has accepted the document: its conditional update of config/head succeeded.
    void acceptLocally(const Head &head, const SectionTexts &texts);
    /// This instance's conditional update of plan/current succeeded with this version.
    void acceptPlanLocally(PlanVersion version, const std::string &json);

    /// Newest versions in force; 0 means none.
    FeedVersions versions() const { return m_dissemination.versions(); }
    /// Configuration in force; null before the first.
    const ConfigurationPtr &configuration() const { return m_configuration; }
    /// Whether this instance's last call to the store succeeded.
    bool isStoreReachable() const { return m_dissemination.report().storeReachable; }
    bool isWatcher() const { return m_dissemination.isWatcher(m_loop.now()); }
    /// Calls made to the store.
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
    /// Serialized once for all peers that fetch it.
    std::string m_headJson;
    /// Revisions of the store after which the two watches wait.
    std::map<FeedItem, std::uint64_t> m_revisions;
    std::uint64_t m_storeCalls = 0;
    sigc::signal<void(const ConfigurationPtr &, const Head &, const SectionTexts &)> m_adopted;
    sigc::signal<void(const std::string &, PlanVersion)> m_planAdopted;
    sigc::signal<void(PeerRpc::Heartbeat::Reader)> m_received;
    sigc::slot<void(PeerRpc::Heartbeat::Builder, const InstanceId &)> m_source;
    /// Lets answers that come after the feed's end go nowhere.
    std::shared_ptr<bool> m_isAlive = std::make_shared<bool>(true);
    Timer m_tick;
};

} // namespace Tarragon
