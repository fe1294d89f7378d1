#include "entry/Daemon.h"

#include "base/Digest.h"
#include "base/Error.h"
#include "document/DocumentParser.h"
#include "entry/Failure.h"
#include "entry/StatusReport.h"
#include "net/ConnectionCloses.h"
#include "net/MemoryMetrics.h"

#include <log4cplus/logger.h>
#include <log4cplus/loggingmacros.h>

#include <fstream>
#include <sstream>

namespace Tarragon {

namespace {

/// Period of the checks of the request queues, the conditions of targets and the shutdown.
constexpr milliseconds TickPeriod{ 20 };

/// Period of the log lines that list the pending work of a shutdown.
constexpr seconds ShutdownLogPeriod{ 2 };

/// Period of moving the applied weights toward those of the plan.
constexpr milliseconds WeightUpdatePeriod{ 500 };

/// Largest body of an administration request: a section of the largest size takes up to 6 MB as a
/// JSON string.
constexpr ByteCount MaxAdminBody{ 8 * 1024 * 1024 };

/// Period of the attempts to write the first document to an empty store.
constexpr seconds SeedPeriod{ 2 };

const log4cplus::Logger &logger()
{
    static const log4cplus::Logger instance = log4cplus::Logger::getInstance("daemon");
    return instance;
}

void replyWithText(HttpExchange &exchange, int status, const std::string &type,
                   const std::string &text)
{
    HttpHeaders headers;
    headers.set("Content-Type", type);
    exchange.reply(status, headers, text);
}

} // namespace

Daemon::Daemon(EventLoop &loop, const Settings &settings)
    : m_loop(loop)
    , m_settings(settings)
    , m_incarnation(strongRandom())
    , m_rpc(loop.base())
    , m_client(loop)
    , m_store(loop, m_client, settings.store.address, settings.store.port, settings.storeTimeout)
    , m_state(settings, m_incarnation, loop.now())
    , m_peers(loop, settings, m_incarnation, m_state, m_store, m_drain)
    , m_proxyContext(makeProxyContext())
    , m_proxy(m_proxyContext)
    , m_lookupApi(loop, m_state, m_metrics, [this] { return m_peers.claims().seed(); })
    , m_adminApi(makeAdminContext())
    , m_prober(loop, m_state, m_peers.membership())
{
    m_peers.feed().adopted().connect(
            [this](const ConfigurationPtr &configuration, const Head &head,
                   const SectionTexts &texts) { adopt(configuration, head, texts); });
    m_peers.feed().planAdopted().connect(
            [this](const std::string &json, PlanVersion version) { adoptPlan(json, version); });
    HttpServerLimits limits;
    limits.bodyBytes = std::max(settings.maxBody, MaxAdminBody);
    m_server = std::make_unique<HttpServer>(
            loop, settings.http.address, settings.http.port, limits,
            [this](const HttpExchangePtr &exchange) { route(exchange); });
    m_tick = loop.scheduleEvery(TickPeriod, [this] { tick(); });
    m_probeTimer = loop.scheduleEvery(TargetProber::ProbePeriod, [this] { m_prober.probe(); });
    m_weightTimer = loop.scheduleEvery(WeightUpdatePeriod,
                                       [this] { m_state.advanceWeights(m_loop.now()); });
    m_seedTimer = loop.schedule(microseconds(0), [this] { seedStore(); });
    LOG4CPLUS_INFO(logger(), "Entry is listening for HTTP requests. instance="
                                     << settings.instance << " failureDomain=" << settings.domain
                                     << " http=" << settings.http.address << ":"
                                     << m_server->port());
}

Daemon::~Daemon() = default;

ProxyContext Daemon::makeProxyContext()
{
    return ProxyContext{ m_loop,
                         m_client,
                         m_settings,
                         m_state,
                         m_metrics,
                         m_drain,
                         m_peers.claims().functions(),
                         RetryPolicy{},
                         {} };
}

AdminContext Daemon::makeAdminContext()
{
    return AdminContext{
        m_loop,
        m_store,
        m_state,
        m_lookupApi,
        [this] { return m_document; },
        [this](const Head &head, const SectionTexts &texts) {
            m_peers.feed().acceptLocally(head, texts);
        },
        [this] { return status(); },
    };
}

std::string Daemon::status()
{
    return statusBody(StatusSources{ m_settings, m_incarnation, m_state, m_peers, m_drain,
                                     m_refuseNewWorkFrom.has_value() },
                      m_loop.now());
}

void Daemon::seedStore()
{
    if (m_settings.documentFile.empty() || m_state.configuration() != nullptr) {
        return;
    }
    std::ifstream file(m_settings.documentFile);
    std::stringstream text;
    text << file.rdbuf();
    Findings findings;
    const SectionTexts sections = splitDocument(text.str(), m_settings.documentFile, findings);
    for (const Finding &it : findings) {
        LOG4CPLUS_ERROR(logger(), toString(it));
    }
    if (!file || !findings.empty()) {
        LOG4CPLUS_ERROR(
                logger(),
                "Document file cannot be read or has faults; the store is not seeded from it. file="
                        << m_settings.documentFile);
        return;
    }
    m_adminApi.seed(sections);
    // The store may be unavailable, or another entry may seed it first. The attempt is repeated
    // until this entry has a configuration.
    m_seedTimer = m_loop.schedule(SeedPeriod, [this] { seedStore(); });
}

void Daemon::run()
{
    m_rpc.run();
}

void Daemon::route(const HttpExchangePtr &exchange)
{
    const std::string &path = exchange->path();
    if (path.compare(0, 3, "/s/") == 0) {
        m_proxy.handle(exchange);
        return;
    }
    if (path == "/v1/lookup") {
        m_lookupApi.handle(exchange);
        return;
    }
    if (path.compare(0, 10, "/admin/v1/") == 0) {
        m_adminApi.handle(exchange);
        return;
    }
    if (path == "/metrics") {
        replyWithText(
                *exchange, 200, "text/plain; version=0.0.4",
                m_metrics.text()
                        + memoryMetricsText("tarragonstage", MemoryBudget::ofProcess().counts())
                        + ConnectionCloses::ofProcess().metricsText("tarragonstage_client"));
        return;
    }
    if (path == "/healthz") {
        const bool serves = m_state.configuration() != nullptr && m_drain.acceptsNewWork();
        replyWithText(*exchange, serves ? 200 : 503, "text/plain",
                      serves ? "serving\n" : "not serving\n");
        return;
    }
    replyWithFailure(*exchange,
                     Failure{ 404, "unknown-path", Verdict::NotRun,
                              "found the path \"" + path.substr(0, 80)
                                      + "\", expected one of the paths in docs/interface.md",
                              milliseconds(0) },
                     "");
}

void Daemon::adopt(const ConfigurationPtr &configuration, const Head &head,
                   const SectionTexts &texts)
{
    if (!m_state.adopt(configuration, m_loop.now())) {
        return;
    }
    m_document = CurrentDocument{ head, texts };
    m_metrics.setGeneration(configuration->generation.value());
    checkPlannedStop();
}

void Daemon::adoptPlan(const std::string &json, PlanVersion version)
{
    try {
        m_state.adoptPlan(std::make_shared<const Plan>(parsePlan(json)));
        m_metrics.setPlanVersion(version.value());
    } catch (const Error &error) {
        LOG4CPLUS_ERROR(logger(), "Plan is not valid; the entry keeps the plan in force. version="
                                          << version << " reason=\"" << error.what() << "\"");
    }
}

void Daemon::checkPlannedStop()
{
    // A planned stop of this instance, its failure domain or its region shuts the process down once
    // its work is done. The operator's process supervision starts it again after the stop is
    // removed from the document.
    if (m_state.configuration()->isStopped(m_settings.instance, m_settings.domain)) {
        leave();
    }
}

void Daemon::tick()
{
    const MonotonicTime now = m_loop.now();
    m_state.refreshConditions(now);
    m_proxy.serveQueues();
    m_metrics.setPeersReachable(m_peers.reachablePeers());
    checkShutdown();
}

void Daemon::leave()
{
    if (m_refuseNewWorkFrom.has_value()) {
        return;
    }
    const MonotonicTime now = m_loop.now();
    // Callers may send requests for as long as they cache the responses of earlier lookups.
    milliseconds longestTtl{ 0 };
    if (m_state.configuration() != nullptr) {
        for (const auto &[id, service] : m_state.configuration()->services) {
            longestTtl = std::max(longestTtl, service.lookupTtl);
        }
    }
    m_refuseNewWorkFrom = now + longestTtl;
    m_shutdownDeadline = now + m_settings.stopDeadline;
    m_nextShutdownLog = now;
    m_peers.announceLeaving();
    LOG4CPLUS_INFO(logger(), "Shutdown started; new requests are accepted until earlier lookups "
                             "expire. acceptsForMs="
                                     << longestTtl.count()
                                     << " deadlineSeconds=" << m_settings.stopDeadline.count());
}

void Daemon::checkShutdown()
{
    if (!m_refuseNewWorkFrom.has_value()) {
        return;
    }
    const MonotonicTime now = m_loop.now();
    if (now >= *m_refuseNewWorkFrom && m_drain.acceptsNewWork()) {
        m_drain.leave(now, m_shutdownDeadline);
        m_server->stopListening();
    }
    if (m_drain.phase() == DrainPhase::Finished && m_server->isQuiet()) {
        LOG4CPLUS_INFO(logger(),
                       "Shutdown finished: all requests have ended and all connections are idle.");
        m_rpc.stop();
        return;
    }
    if (m_drain.isOverdue(now)) {
        LOG4CPLUS_WARN(logger(),
                       "Shutdown deadline passed; stopping with requests still pending. pending="
                               << m_drain.pending().size());
        m_rpc.stop();
        return;
    }
    if (now < m_nextShutdownLog) {
        return;
    }
    m_nextShutdownLog = now + ShutdownLogPeriod;
    for (const PendingWork &it : m_drain.pending()) {
        LOG4CPLUS_INFO(logger(), "Shutdown is waiting for " << it.description << " to end.");
    }
}

} // namespace Tarragon
