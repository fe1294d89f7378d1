#pragma once

#include "entry/AdminApi.h"
#include "entry/LookupApi.h"
#include "entry/Metrics.h"
#include "entry/PeerCoordinator.h"
#include "entry/ProxyContext.h"
#include "entry/RequestProxy.h"
#include "entry/ServingState.h"
#include "entry/Settings.h"
#include "entry/TargetProber.h"
#include "net/EventLoop.h"
#include "net/HttpClient.h"
#include "net/HttpServer.h"
#include "net/RpcRuntime.h"
#include "platform/ObjectStoreClient.h"
#include "steering/DrainState.h"

#include <memory>
#include <optional>

namespace Tarragon {

/// Runs one entry instance; owns all parts of the entry that exist as long as the process.
class Daemon
{
public:
    /// Listens for HTTP and RPC on the addresses of the settings. Throws Error if that fails.
    Daemon(EventLoop &loop, const Settings &settings);
    ~Daemon();
    Daemon(const Daemon &) = delete;
    Daemon &operator=(const Daemon &) = delete;

    /// Runs the event loop until the shutdown has finished.
    void run();
    /// Starts the graceful shutdown. run() returns when no work is pending or stopDeadline of the
    /// settings has passed.
    void leave();

private:
    ProxyContext makeProxyContext();
    AdminContext makeAdminContext();
    void route(const HttpExchangePtr &exchange);
    void tick();
    void adopt(const ConfigurationPtr &configuration, const Head &head, const SectionTexts &texts);
    void adoptPlan(const std::string &json, PlanVersion version);
    void seedStore();
    void checkPlannedStop();
    void checkShutdown();
    std::string status();

    EventLoop &m_loop;
    const Settings &m_settings;
    Incarnation m_incarnation;
    RpcRuntime m_rpc;
    Metrics m_metrics;
    HttpClient m_client;
    ObjectStoreClient m_store;
    ServingState m_state;
    DrainState m_drain;
    PeerCoordinator m_peers;
    ProxyContext m_proxyContext;
    RequestProxy m_proxy;
    LookupApi m_lookupApi;
    AdminApi m_adminApi;
    TargetProber m_prober;
    CurrentDocument m_document;
    std::unique_ptr<HttpServer> m_server;
    /// Time from which new work is refused during a shutdown; nothing before a shutdown.
    std::optional<MonotonicTime> m_refuseNewWorkFrom;
    MonotonicTime m_shutdownDeadline;
    MonotonicTime m_nextShutdownLog;
    Timer m_tick;
    Timer m_probeTimer;
    Timer m_weightTimer;
    Timer m_seedTimer;
};

} // namespace Tarragon
