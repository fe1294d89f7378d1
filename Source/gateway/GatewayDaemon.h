#pragma once

#include "gateway/EntryRegistration.h"
#include "gateway/GatewayContext.h"
#include "gateway/GatewaySettings.h"
#include "gateway/KindSubscription.h"
#include "gateway/MembershipGossip.h"
#include "gateway/StoreRelay.h"
#include "gateway/SuspectSharing.h"
#include "net/HttpServer.h"
#include "net/RpcRuntime.h"

#include <memory>
#include <optional>
#include <vector>

namespace Tarragon {

/// An entry that serves hosted routes. Owns all objects that live as long as the process.
class GatewayDaemon
{
public:
    /// Listens on the addresses in the settings. Throws Error if that fails. `log` is the log
    /// buffer that the process writes out.
    GatewayDaemon(EventLoop &loop, const GatewaySettings &settings, const LogBuffer &log);
    ~GatewayDaemon();
    GatewayDaemon(const GatewayDaemon &) = delete;
    GatewayDaemon &operator=(const GatewayDaemon &) = delete;

    /// Ports in use; chosen by the system where the settings give port 0.
    struct Ports
    {
        std::uint16_t front = 0;
        std::uint16_t readiness = 0;
        std::uint16_t lookup = 0;
        std::uint16_t metrics = 0;
    };
    Ports ports() const;

    /// Runs the event loop until the shutdown has finished.
    void run();
    /// Starts the graceful shutdown: lookups and the readiness check send callers to other entries,
    /// and requests that have arrived are finished.
    void beginShutdown();
    /// Applies the limits of changed settings. Other changes are logged and take effect at the next
    /// start.
    void applySettings(const GatewaySettings &settings);

private:
    void listen();
    std::unique_ptr<KindSubscription> subscribe(const std::string &kind,
                                                KindSubscription::Handlers handlers,
                                                const SubscriptionOptions &options = {});
    void subscribeToStore();
    /// Returns the handlers of RPC calls by neighbours other than gossip.
    PeerHandlers peerHandlers();
    void onStoreUnavailable(const std::string &reason);
    void onStoreAvailable();
    void onRouteTables(const std::vector<Platform::StoredItem> &items);
    void onRouteTableChanges(const std::vector<Platform::StoredChange> &changes);
    void onRouteTable(const Platform::StoredItem &item);
    void onTargets(const std::vector<Platform::StoredItem> &items);
    void onTargetChanges(const std::vector<Platform::StoredChange> &changes);
    void onEvacuations(const std::vector<Platform::StoredItem> &items);
    void onEvacuationChanges(const std::vector<Platform::StoredChange> &changes);
    void applyEvacuations();
    void afterTargetChange();
    /// Logs changes of the target registry with the source and the maximum age of the data.
    void logRegistryChanges(const std::vector<TargetChange> &changes) const;
    void answerLookup(const HttpExchangePtr &exchange);
    void answerReadiness(const HttpExchangePtr &exchange);
    bool isReady() const;
    void tick();
    /// Logs changes of the targets' limits and removes unused ones.
    void maintainLimits();
    /// Logs subscriptions that would never follow the store again, which is a fault of this
    /// program.
    void reportStalledSubscriptions() const;
    std::string metricsText();
    /// Stops all servers of HTTP as far as no response is cut by it. Returns whether the process
    /// may end.
    bool stopServers();
    void checkShutdown();

    EventLoop &m_loop;
    GatewaySettings m_settings;
    Incarnation m_incarnation;
    RpcRuntime m_rpc;
    HttpClient m_client;
    Platform::ObjectStore m_store;
    StoreHealth m_health;
    GatewayMetrics m_metrics;
    GatewayState m_state;
    const LogBuffer &m_log;
    LogLineSampler m_successSampler;
    EntryMembership m_membership;
    TargetPermits m_permits;
    RequestTrials m_trials;
    UsageCaps m_usageCaps;
    GatewayContext m_context;
    EntryRegistration m_registration;
    MembershipGossip m_gossip;
    SuspectSharing m_suspectSharing;
    StoreRelay m_relay;
    std::unique_ptr<KindSubscription> m_routeSubscription;
    std::unique_ptr<KindSubscription> m_targetSubscription;
    std::unique_ptr<KindSubscription> m_evacuationSubscription;
    std::unique_ptr<KindSubscription> m_entrySubscription;
    std::set<FailureDomainId> m_evacuated;
    /// Evacuations that stay in force for a while although the restored store lacks them.
    std::set<FailureDomainId> m_keptEvacuations;
    Timer m_keptEvacuationsTimer;
    std::unique_ptr<HttpServer> m_front;
    std::unique_ptr<HttpServer> m_readiness;
    std::unique_ptr<HttpServer> m_lookup;
    std::unique_ptr<HttpServer> m_metricsServer;
    std::optional<MonotonicTime> m_shutdownStartedAt;
    MonotonicTime m_lastTickAt;
    Timer m_tick;
    Timer m_limitUpkeep;
    Timer m_subscriptionCheck;
};

} // namespace Tarragon
