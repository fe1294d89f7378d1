#pragma once

#include "gateway/EntryRegistration.h"
#include "gateway/GatewayContext.h"
#include "gateway/GatewaySettings.h"
#include "gateway/KindFollower.h"
#include "gateway/RosterExchange.h"
#include "gateway/StoreRelay.h"
#include "net/HttpServer.h"
#include "net/RpcRuntime.h"

#include <memory>
#include <optional>
#include <vector>

namespace Tarragon {

/// One entry that serves hosted routes: everything that lives as long as the process.
class GatewayDaemon
{
public:
    /// Listens on the settings' addresses. Throws Error if that fails.
    /// The log buffer is the one that the process writes out.
    GatewayDaemon(EventLoop &loop, const GatewaySettings &settings, const LogBuffer &log);
    ~GatewayDaemon();
    GatewayDaemon(const GatewayDaemon &) = delete;
    GatewayDaemon &operator=(const GatewayDaemon &) = delete;

    /// Ports that are listened on, where the settings left them open.
    struct Ports
    {
        std::uint16_t front = 0;
        std::uint16_t readiness = 0;
        std::uint16_t lookup = 0;
        std::uint16_t metrics = 0;
    };
    Ports ports() const;

    /// Runs the loop until the shutdown has finished.
    void run();
    /// Starts the graceful shutdown: callers are sent elsewhere, and what has arrived is finished.
    void leave();
    /// Takes the bounds of changed settings. Other changes are logged and wait for the next start.
    void reload(const GatewaySettings &settings);

private:
    void listen();
    std::unique_ptr<KindFollower> follow(const std::string &kind, KindFollower::Handlers handlers,
                                         const FollowOptions &options = {});
    void followStore();
    /// What neighbours may call beside the exchange of rosters.
    PeerHandlers peerHandlers();
    void onStoreLost(const std::string &reason);
    void onStoreRegained();
    void onRouteTables(const std::vector<Platform::StoredItem> &items);
    void onRouteTableChanges(const std::vector<Platform::StoredChange> &changes);
    void onRouteTable(const Platform::StoredItem &item);
    void onTargets(const std::vector<Platform::StoredItem> &items);
    void onTargetChanges(const std::vector<Platform::StoredChange> &changes);
    void onEvacuations(const std::vector<Platform::StoredItem> &items);
    void onEvacuationChanges(const std::vector<Platform::StoredChange> &changes);
    void applyEvacuations();
    void afterTargetChange();
    void answerLookup(const HttpExchangePtr &exchange);
    void answerReadiness(const HttpExchangePtr &exchange);
    bool isReady() const;
    void tick();
    std::string metricsText();
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
    LineSampler m_successLines;
    GatewayContext m_context;
    EntryRoster m_roster;
    EntryRegistration m_registration;
    RosterExchange m_exchange;
    StoreRelay m_relay;
    std::unique_ptr<KindFollower> m_routeFollower;
    std::unique_ptr<KindFollower> m_targetFollower;
    std::unique_ptr<KindFollower> m_evacuationFollower;
    std::unique_ptr<KindFollower> m_entryFollower;
    std::set<FailureDomainId> m_evacuated;
    std::unique_ptr<HttpServer> m_front;
    std::unique_ptr<HttpServer> m_readiness;
    std::unique_ptr<HttpServer> m_lookup;
    std::unique_ptr<HttpServer> m_metricsServer;
    std::optional<MonotonicTime> m_leavingSince;
    MonotonicTime m_tickedAt;
    /// Lookups answered, for drawing the entries that each one names.
    std::uint64_t m_lookups = 0;
    Timer m_tick;
};

} // namespace Tarragon
