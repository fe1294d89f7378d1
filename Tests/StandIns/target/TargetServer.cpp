#include "StandIns/target/TargetServer.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <charconv>
#include <optional>
#include <utility>

namespace Tarragon {

namespace {

/// Maximum size of one write of a response body.
constexpr std::size_t ChunkBytes = 64 * 1024;

/// Number of load changes kept. They must reach back at least as far as the load lag.
constexpr std::size_t MaxLoadHistory = 4096;

std::int64_t number(const std::string &text, std::int64_t fallback)
{
    std::int64_t value = fallback;
    std::from_chars(text.data(), text.data() + text.size(), value);
    return value;
}

constexpr const char *RequestIdHeader = "Tarragon-Request-Id";

HttpHeaders plainHeaders()
{
    HttpHeaders headers;
    headers.set("Content-Type", "text/plain");
    return headers;
}

/// Returns the headers of a response, with the id of the request if it has one.
HttpHeaders headersFor(const HttpExchange &exchange)
{
    HttpHeaders headers = plainHeaders();
    if (const std::optional<std::string> id = exchange.headers().find(RequestIdHeader)) {
        headers.set(RequestIdHeader, *id);
    }
    return headers;
}

/// Returns the response body for a request: the request's id in the first line, then filler up to
/// the length. Callers check the id and the length.
std::string bodyStart(const std::string &requestId, std::size_t length)
{
    std::string text = "request " + requestId + "\n";
    text.resize(std::max(length, text.size()), '.');
    return text;
}

} // namespace

struct TargetServer::Run
{
    std::uint64_t number = 0;
    HttpExchangePtr exchange;
    std::string requestId;
    std::string body;
    std::size_t sent = 0;
    bool ended = false;
    Timer work;
    Timer deadline;
};

TargetServer::TargetServer(EventLoop &loop, Journal &journal, std::string id,
                           const std::string &address, std::uint16_t port,
                           const TargetBehaviour &behaviour)
    : m_loop(loop)
    , m_journal(journal)
    , m_id(std::move(id))
    , m_behaviour(behaviour)
{
    m_server = std::make_unique<HttpServer>(
            loop, address, port, HttpServerLimits{},
            [this](const HttpExchangePtr &exchange) { handle(exchange); });
}

void TargetServer::handle(const HttpExchangePtr &exchange)
{
    if (exchange->path() == "/healthz") {
        exchange->reply(m_behaviour.draining ? 503 : 200, plainHeaders(), "");
        return;
    }
    if (exchange->path() == "/load") {
        reportLoad(exchange);
        return;
    }
    if (exchange->path() == "/control") {
        handleControl(exchange);
        return;
    }
    if (m_behaviour.draining || m_running >= m_behaviour.slots) {
        HttpHeaders headers = headersFor(*exchange);
        headers.set("Retry-After", "1");
        exchange->reply(429, headers, "no free slot\n");
        return;
    }
    start(exchange);
}

void TargetServer::handleControl(const HttpExchangePtr &exchange)
{
    const nlohmann::json json = nlohmann::json::parse(exchange->body(), nullptr, false);
    if (!json.is_object()) {
        exchange->reply(400, plainHeaders(), "expected a JSON object\n");
        return;
    }
    m_behaviour.slots = json.value("slots", m_behaviour.slots);
    m_behaviour.serviceTime =
            milliseconds(json.value("serviceTimeMs", m_behaviour.serviceTime.count()));
    m_behaviour.coldTime = milliseconds(json.value("coldTimeMs", m_behaviour.coldTime.count()));
    m_behaviour.coldRequests = json.value("coldRequests", m_behaviour.coldRequests);
    m_behaviour.loadLag = milliseconds(json.value("loadLagMs", m_behaviour.loadLag.count()));
    m_behaviour.draining = json.value("draining", m_behaviour.draining);
    m_behaviour.truncateAfter = json.value("truncateAfter", m_behaviour.truncateAfter);
    m_behaviour.hangs = json.value("hangs", m_behaviour.hangs);
    exchange->reply(200, plainHeaders(), "");
}

void TargetServer::reportLoad(const HttpExchangePtr &exchange)
{
    const MonotonicTime asOf = m_loop.now() - m_behaviour.loadLag;
    int running = 0;
    for (const std::pair<MonotonicTime, int> &it : m_loadHistory) {
        if (it.first <= asOf) {
            running = it.second;
        }
    }
    HttpHeaders headers;
    headers.set("Content-Type", "application/json");
    const nlohmann::json json{ { "running", running },
                               { "slots", m_behaviour.slots },
                               { "ageMs", m_behaviour.loadLag.count() } };
    exchange->reply(200, headers, json.dump());
}

void TargetServer::start(const HttpExchangePtr &exchange)
{
    const std::shared_ptr<Run> run = std::make_shared<Run>();
    run->number = m_nextRun++;
    run->exchange = exchange;
    run->requestId = exchange->headers().find(RequestIdHeader).value_or("");
    const std::int64_t bytes = number(exchange->query("bytes"), 0);
    run->body =
            bodyStart(run->requestId, static_cast<std::size_t>(std::max<std::int64_t>(bytes, 0)));
    m_runs[run->number] = run;
    ++m_running;
    ++m_started;
    noteLoad();
    m_journal.record(JournalEvent::Start, m_id, run->requestId, exchange->method(),
                     exchange->path(), m_running);

    const std::weak_ptr<Run> weak = run;
    exchange->disconnected().connect([this, weak] {
        if (const std::shared_ptr<Run> it = weak.lock()) {
            end(it, JournalEvent::Cancel);
        }
    });
    const std::optional<std::string> deadline = exchange->headers().find("Tarragon-Deadline-Ms");
    if (deadline.has_value()) {
        run->deadline = m_loop.schedule(milliseconds(number(*deadline, 0)), [this, weak] {
            const std::shared_ptr<Run> it = weak.lock();
            if (it == nullptr || it->ended) {
                return;
            }
            const HttpExchangePtr late = it->exchange;
            const bool unanswered = it->sent == 0;
            end(it, JournalEvent::Expire);
            if (unanswered) {
                late->reply(504, headersFor(*late), "deadline passed\n");
            } else {
                late->abort();
            }
        });
    }
    if (m_behaviour.hangs) {
        return;
    }
    milliseconds time(number(exchange->query("ms"), m_behaviour.serviceTime.count()));
    if (m_started <= static_cast<std::uint64_t>(m_behaviour.coldRequests)) {
        time += m_behaviour.coldTime;
    }
    run->work = m_loop.schedule(time, [this, weak] {
        if (const std::shared_ptr<Run> it = weak.lock()) {
            answer(it);
        }
    });
}

void TargetServer::answer(const std::shared_ptr<Run> &run)
{
    HttpHeaders headers = headersFor(*run->exchange);
    headers.set("Content-Length", std::to_string(run->body.size()));
    run->exchange->startReply(200, headers);
    const std::weak_ptr<Run> weak = run;
    run->exchange->drained().connect([this, weak] {
        if (const std::shared_ptr<Run> it = weak.lock()) {
            pump(it);
        }
    });
    pump(run);
}

void TargetServer::pump(const std::shared_ptr<Run> &run)
{
    if (run->ended) {
        return;
    }
    std::size_t limit = run->body.size();
    if (m_behaviour.truncateAfter >= 0) {
        limit = std::min(limit, static_cast<std::size_t>(m_behaviour.truncateAfter));
    }
    while (run->sent < limit && run->exchange->bufferedBytes() < ChunkBytes) {
        const std::size_t n = std::min(ChunkBytes, limit - run->sent);
        run->exchange->send(std::string_view(run->body).substr(run->sent, n));
        run->sent += n;
    }
    if (run->sent < limit) {
        return;
    }
    const HttpExchangePtr exchange = run->exchange;
    const bool truncated = limit < run->body.size();
    end(run, JournalEvent::End);
    if (truncated) {
        exchange->abort();
    } else {
        exchange->finish();
    }
}

void TargetServer::end(const std::shared_ptr<Run> &run, JournalEvent event)
{
    if (run->ended) {
        return;
    }
    run->ended = true;
    run->work.reset();
    --m_running;
    noteLoad();
    m_journal.record(event, m_id, run->requestId, run->exchange->method(), run->exchange->path(),
                     m_running);
    m_runs.erase(run->number);
}

void TargetServer::noteLoad()
{
    m_loadHistory.emplace_back(m_loop.now(), m_running);
    if (m_loadHistory.size() > MaxLoadHistory) {
        m_loadHistory.pop_front();
    }
}

} // namespace Tarragon
