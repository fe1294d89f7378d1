#include "entry/Daemon.h"

#include "base/Digest.h"
#include "base/Error.h"
#include "document/DocumentParser.h"
#include "entry/Failure.h"

#include <log4cplus/logger.h>
#include <log4cplus/loggingmacros.h>

#include <fstream>
#include <sstream>

namespace Tarragon {

namespace {

/// Period of everything that is looked at again and again: queues, slot conditions, shutdown.
constexpr milliseconds TickPeriod{ 20 };

constexpr seconds ShutdownLogPeriod{ 2 };

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
    , m_client(loop)
    , m_state(settings, m_incarnation, loop.now())
    , m_proxyContext{ loop, m_client, settings, m_state, m_metrics, m_drain, {}, {}, {} }
    , m_proxy(m_proxyContext)
    , m_lookupApi(loop, m_state, m_metrics, [] { return std::string(); })
{
    HttpServerLimits limits;
    limits.bodyBytes = settings.maxBody;
    m_server = std::make_unique<HttpServer>(
            loop, settings.http.address, settings.http.port, limits,
            [this](const HttpExchangePtr &exchange) { route(exchange); });
    m_tick = loop.scheduleEvery(TickPeriod, [this] { tick(); });
    adoptDocumentFile();
    LOG4CPLUS_INFO(logger(), "Listening. instance=" << settings.instance
                                                    << " failureDomain=" << settings.domain
                                                    << " http=" << settings.http.address << ":"
                                                    << m_server->port());
}

Daemon::~Daemon() = default;

void Daemon::adoptDocumentFile()
{
    if (m_settings.documentFile.empty()) {
        return;
    }
    std::ifstream file(m_settings.documentFile);
    std::stringstream text;
    text << file.rdbuf();
    Findings findings;
    std::optional<Configuration> configuration =
            parseWholeDocument(text.str(), m_settings.documentFile, findings);
    for (const Finding &it : findings) {
        LOG4CPLUS_ERROR(logger(), toString(it));
    }
    if (!configuration.has_value()) {
        throw Error("found faults in the document \"" + m_settings.documentFile
                    + "\", expected a valid document");
    }
    configuration->generation = Generation(1);
    for (const auto &[id, domain] : configuration->topology.domains) {
        for (const EntrySeat &it : domain.entries) {
            m_state.setEntryState(it.id, EntryState::Live);
        }
    }
    adopt(std::make_shared<const Configuration>(std::move(*configuration)));
}

void Daemon::run()
{
    m_loop.run();
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
    if (path == "/metrics") {
        replyWithText(*exchange, 200, "text/plain; version=0.0.4", m_metrics.text());
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
                                      + "\", expected one of docs/interface.md",
                              milliseconds(0) },
                     "");
}

void Daemon::adopt(const ConfigurationPtr &configuration)
{
    if (!m_state.adopt(configuration, m_loop.now())) {
        return;
    }
    m_metrics.setGeneration(configuration->generation.value());
    LOG4CPLUS_INFO(logger(), "Configuration in force. generation=" << configuration->generation);
}

void Daemon::tick()
{
    const MonotonicTime now = m_loop.now();
    m_state.refreshConditions(now);
    static_cast<void>(m_state.ledger().reportFor(m_settings.instance, now));
    m_proxy.serveQueues();
    checkShutdown();
}

void Daemon::leave()
{
    if (m_refuseFrom.has_value()) {
        return;
    }
    const MonotonicTime now = m_loop.now();
    // Callers may still come for as long as they keep the answers of earlier lookups.
    milliseconds longestTtl{ 0 };
    if (m_state.configuration() != nullptr) {
        for (const auto &[id, service] : m_state.configuration()->services) {
            longestTtl = std::max(longestTtl, service.lookupTtl);
        }
    }
    m_refuseFrom = now + longestTtl;
    m_shutdownDeadline = now + m_settings.stopDeadline;
    m_nextShutdownLog = now;
    m_state.setEntryState(m_settings.instance, EntryState::Leaving);
    LOG4CPLUS_INFO(logger(), "Leaving. acceptsForMs=" << longestTtl.count() << " deadlineSeconds="
                                                      << m_settings.stopDeadline.count());
}

void Daemon::checkShutdown()
{
    if (!m_refuseFrom.has_value()) {
        return;
    }
    const MonotonicTime now = m_loop.now();
    if (now >= *m_refuseFrom && m_drain.acceptsNewWork()) {
        m_drain.leave(now, m_shutdownDeadline);
        m_server->stopListening();
    }
    if (m_drain.phase() == DrainPhase::Finished) {
        LOG4CPLUS_INFO(logger(), "Finished all work.");
        m_loop.stop();
        return;
    }
    if (m_drain.isOverdue(now)) {
        LOG4CPLUS_WARN(logger(),
                       "Deadline of the shutdown has passed. pending=" << m_drain.pending().size());
        m_loop.stop();
        return;
    }
    if (now < m_nextShutdownLog) {
        return;
    }
    m_nextShutdownLog = now + ShutdownLogPeriod;
    for (const PendingWork &it : m_drain.pending()) {
        LOG4CPLUS_INFO(logger(), "Waiting for " << it.description << ".");
    }
}

} // namespace Tarragon
