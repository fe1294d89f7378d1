#include "StandIns/platform/StandInStore.h"

#include "base/Error.h"

#include <event2/http.h>

#include <charconv>
#include <cstdlib>
#include <optional>
#include <utility>

namespace Tarragon {

namespace {

/// Largest value that the store takes.
constexpr ByteCount MaxValue{ 1'000'000 };

constexpr std::string_view ObjectsPath = "/v1/objects/";

constexpr int Ok = 200;
constexpr int BadRequest = 400;
constexpr int NotFound = 404;
constexpr int MethodNotAllowed = 405;
constexpr int Conflict = 409;
constexpr int ServiceUnavailable = 503;

std::optional<std::uint64_t> parseNumber(const std::string &text)
{
    std::uint64_t value = 0;
    const char *end = text.data() + text.size();
    const std::from_chars_result result = std::from_chars(text.data(), end, value);
    if (result.ec != std::errc() || result.ptr != end) {
        return std::nullopt;
    }
    return value;
}

std::string decoded(const std::string &text)
{
    char *result = evhttp_uridecode(text.c_str(), 0, nullptr);
    std::string copy = result == nullptr ? std::string() : std::string(result);
    std::free(result);
    return copy;
}

HttpHeaders versionHeader(std::uint64_t version)
{
    HttpHeaders headers;
    headers.add("Object-Version", std::to_string(version));
    return headers;
}

HttpHeaders jsonHeader()
{
    HttpHeaders headers;
    headers.add("Content-Type", "application/json");
    return headers;
}

HttpServerLimits limits()
{
    HttpServerLimits result;
    result.bodyBytes = MaxValue;
    return result;
}

} // namespace

StandInStore::StandInStore(EventLoop &loop, std::string address, std::uint16_t port,
                           std::uint16_t controlPort)
    : m_loop(loop)
    , m_address(std::move(address))
    , m_port(port)
    , m_controlServer(loop, m_address, controlPort, limits(),
                      sigc::mem_fun(*this, &StandInStore::onControlRequest))
{
    listen();
}

StandInStore::~StandInStore() = default;

void StandInStore::listen()
{
    m_server = std::make_unique<HttpServer>(m_loop, m_address, m_port, limits(),
                                            sigc::mem_fun(*this, &StandInStore::onStoreRequest));
    m_port = m_server->port();
}

void StandInStore::control(const nlohmann::json &json)
{
    m_faults.update(json);
    // The request that switches the outage on may have come in through the port that closes.
    m_outageTimer =
            m_loop.schedule(microseconds(0), sigc::mem_fun(*this, &StandInStore::applyOutage));
}

void StandInStore::applyOutage()
{
    const bool refuses = m_faults.outage && m_faults.refusesConnections;
    if (refuses) {
        m_watches.clear();
        m_delayed.clear();
        m_server.reset();
    } else if (m_server == nullptr) {
        listen();
    }
    if (m_faults.outage) {
        const std::list<Watch> watches = std::exchange(m_watches, {});
        for (const Watch &watch : watches) {
            watch.exchange->reply(ServiceUnavailable, {}, "");
        }
    }
}

void StandInStore::setInstances(const nlohmann::json &instances)
{
    m_instances.set(instances, m_loop.now());
}

nlohmann::json StandInStore::counters() const
{
    nlohmann::json json = { { "get", 0 },         { "put", 0 },        { "list", 0 },
                            { "watch", 0 },       { "instances", 0 },  { "conflicts", 0 },
                            { "unavailable", 0 }, { "lostAnswers", 0 } };
    for (const auto &[name, count] : m_counters) {
        json[name] = count;
    }
    json["waitingWatches"] = m_watches.size();
    return json;
}

void StandInStore::onControlRequest(const HttpExchangePtr &exchange)
{
    try {
        answerControl(exchange);
    } catch (const std::exception &error) {
        exchange->reply(BadRequest, {}, error.what());
    }
}

void StandInStore::answerControl(const HttpExchangePtr &exchange)
{
    const std::string call = exchange->method() + " " + exchange->path();
    nlohmann::json answer;
    if (call == "POST /control") {
        control(nlohmann::json::parse(exchange->body()));
        answer = m_faults.toJson();
    } else if (call == "GET /control") {
        answer = m_faults.toJson();
    } else if (call == "POST /control/instances") {
        setInstances(nlohmann::json::parse(exchange->body()).at("instances"));
        answer = nlohmann::json::object();
    } else if (call == "GET /control/counters") {
        answer = counters();
    } else {
        exchange->reply(NotFound, {}, "");
        return;
    }
    exchange->reply(Ok, jsonHeader(), answer.dump());
}

void StandInStore::onStoreRequest(const HttpExchangePtr &exchange)
{
    if (exchange->path().starts_with("/control")) {
        onControlRequest(exchange);
        return;
    }
    after(m_faults.effectDelay, [this, exchange] { run(exchange); });
}

void StandInStore::after(milliseconds delay, sigc::slot<void()> step)
{
    if (delay == milliseconds(0)) {
        step();
        return;
    }
    m_delayed.emplace_back();
    const auto it = std::prev(m_delayed.end());
    it->step = std::move(step);
    it->timer = m_loop.schedule(delay, [this, it] {
        const sigc::slot<void()> due = std::move(it->step);
        m_delayed.erase(it);
        due();
    });
}

void StandInStore::run(const HttpExchangePtr &exchange)
{
    const std::string &path = exchange->path();
    const std::string &method = exchange->method();
    const bool isObject = path.starts_with(ObjectsPath) && path.size() > ObjectsPath.size();
    std::string kind;
    if (isObject && (method == "GET" || method == "PUT")) {
        kind = method == "GET" ? "get" : "put";
    } else if (method == "GET" && path == "/v1/objects") {
        kind = "list";
    } else if (method == "GET" && path == "/v1/watch") {
        kind = "watch";
    } else if (method == "GET" && path == "/v1/instances") {
        kind = "instances";
    } else {
        exchange->reply(isObject ? MethodNotAllowed : NotFound, {}, "");
        return;
    }
    ++m_counters[kind];
    if (m_faults.outage) {
        ++m_counters["unavailable"];
        answer(exchange, ServiceUnavailable, {}, "");
    } else if (kind == "get") {
        get(exchange, decoded(path.substr(ObjectsPath.size())));
    } else if (kind == "put") {
        put(exchange, decoded(path.substr(ObjectsPath.size())));
    } else if (kind == "list") {
        answerListing(exchange, exchange->query("prefix"));
    } else if (kind == "watch") {
        watch(exchange);
    } else {
        const nlohmann::json json = { { "instances",
                                        m_instances.visible(m_loop.now(), m_faults.listLag) } };
        answer(exchange, Ok, jsonHeader(), json.dump());
    }
}

void StandInStore::get(const HttpExchangePtr &exchange, const std::string &key)
{
    const StandInObjects::Object *object = m_objects.find(key);
    if (object == nullptr) {
        answer(exchange, NotFound, {}, "");
        return;
    }
    answer(exchange, Ok, versionHeader(object->version), object->value);
}

void StandInStore::put(const HttpExchangePtr &exchange, const std::string &key)
{
    const std::optional<std::uint64_t> ifVersion =
            parseNumber(exchange->headers().find("If-Version").value_or(""));
    if (!ifVersion.has_value()) {
        answer(exchange, BadRequest, {}, "If-Version is missing or no number");
        return;
    }
    const std::optional<std::uint64_t> version = m_objects.put(key, exchange->body(), *ifVersion);
    if (!version.has_value()) {
        ++m_counters["conflicts"];
        answer(exchange, Conflict, versionHeader(m_objects.versionOf(key)), "");
        return;
    }
    if (m_faults.loseAnswers > 0) {
        --m_faults.loseAnswers;
        ++m_counters["lostAnswers"];
        after(m_faults.delay, [exchange] { exchange->abort(); });
    } else {
        answer(exchange, Ok, versionHeader(*version), "");
    }
    answerChangedWatches();
}

void StandInStore::watch(const HttpExchangePtr &exchange)
{
    const std::optional<std::uint64_t> afterRevision = parseNumber(exchange->query("after"));
    const std::optional<std::uint64_t> timeoutMs = parseNumber(exchange->query("timeoutMs"));
    if (!afterRevision.has_value() || !timeoutMs.has_value()) {
        answer(exchange, BadRequest, {}, "after or timeoutMs is missing or no number");
        return;
    }
    const std::string prefix = exchange->query("prefix");
    if (m_objects.hasChanged(prefix, *afterRevision)) {
        answerListing(exchange, prefix);
        return;
    }
    m_watches.emplace_back();
    const auto it = std::prev(m_watches.end());
    it->exchange = exchange;
    it->prefix = prefix;
    it->after = *afterRevision;
    it->timeout = m_loop.schedule(milliseconds(*timeoutMs), [this, it] {
        const HttpExchangePtr due = it->exchange;
        const std::string watched = it->prefix;
        m_watches.erase(it);
        answerListing(due, watched);
    });
    const HttpExchange *watched = exchange.get();
    exchange->disconnected().connect([this, watched] {
        m_watches.remove_if(
                [watched](const Watch &watch) { return watch.exchange.get() == watched; });
    });
}

void StandInStore::answer(const HttpExchangePtr &exchange, int status, const HttpHeaders &headers,
                          const std::string &body)
{
    after(m_faults.delay,
          [exchange, status, headers, body] { exchange->reply(status, headers, body); });
}

void StandInStore::answerListing(const HttpExchangePtr &exchange, const std::string &prefix)
{
    nlohmann::json objects = nlohmann::json::array();
    for (const auto &[key, version] : m_objects.list(prefix)) {
        objects.push_back({ { "key", key }, { "version", version } });
    }
    const nlohmann::json json = { { "revision", m_objects.revision() },
                                  { "objects", std::move(objects) } };
    answer(exchange, Ok, jsonHeader(), json.dump());
}

void StandInStore::answerChangedWatches()
{
    for (auto it = m_watches.begin(); it != m_watches.end();) {
        const auto watching = it++;
        if (m_objects.hasChanged(watching->prefix, watching->after)) {
            const HttpExchangePtr due = watching->exchange;
            const std::string prefix = watching->prefix;
            m_watches.erase(watching);
            answerListing(due, prefix);
        }
    }
}

} // namespace Tarragon
