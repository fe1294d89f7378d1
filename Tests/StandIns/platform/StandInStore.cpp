#include "StandIns/platform/StandInStore.h"

#include "base/Error.h"
#include "base/ParseNumber.h"
#include "net/HttpStatus.h"

#include <event2/http.h>

#include <algorithm>
#include <cstdlib>
#include <optional>
#include <utility>

namespace Tarragon {

namespace {

/// Maximum size of a request body that the store accepts.
constexpr ByteCount MaxValue{ 1'048'576 };

constexpr std::string_view ObjectsPath = "/tarragonstage/objects/";
/// Maximum number of objects in one list response.
constexpr std::size_t PageLength = 50;

std::string decoded(const std::string &text)
{
    char *result = evhttp_uridecode(text.c_str(), 0, nullptr);
    std::string copy = result == nullptr ? std::string() : std::string(result);
    std::free(result);
    return copy;
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
    // The request that starts the outage may have arrived on the port that the outage closes, so
    // its response is sent first.
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
            watch.exchange->reply(HttpStatus::ServiceUnavailable, {}, "");
        }
    }
}

void StandInStore::setInstances(const nlohmann::json &instances)
{
    m_instances.set(instances, m_loop.now());
    showInstances();
}

void StandInStore::showInstances()
{
    std::map<std::pair<std::string, std::string>, nlohmann::json> shown;
    for (const nlohmann::json &it : m_instances.visible(m_loop.now(), m_faults.listLag)) {
        const bool isTarget = it.at("kind") == "target";
        const bool isLeaving = it.at("state") == "leaving";
        const std::string kind = isTarget ? "servers" : "entries";
        shown[{ kind, it.at("id") }] = { { "state", isLeaving ? "draining" : "ready" } };
    }
    for (const char *kind : { "servers", "entries" }) {
        for (const StandInObjects::Object &it : m_objects.list(kind, "")) {
            if (m_listed.contains({ kind, it.name }) && !shown.contains({ kind, it.name })) {
                m_objects.remove(kind, it.name);
            }
        }
    }
    m_listed.clear();
    for (const auto &[key, spec] : shown) {
        m_objects.put(key.first, key.second, spec);
        m_listed.insert(key);
    }
}

nlohmann::json StandInStore::counters() const
{
    nlohmann::json json = { { "get", 0 },         { "put", 0 },        { "list", 0 },
                            { "watch", 0 },       { "delete", 0 },     { "conflicts", 0 },
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
        exchange->reply(HttpStatus::BadRequest, {}, error.what());
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
        exchange->reply(HttpStatus::NotFound, {}, "");
        return;
    }
    exchange->reply(HttpStatus::Ok, jsonHeader(), answer.dump());
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
    showInstances();
    const std::string &path = exchange->path();
    if (!path.starts_with(ObjectsPath) || path.size() == ObjectsPath.size()) {
        exchange->reply(HttpStatus::NotFound, {}, "");
        return;
    }
    const std::string rest = path.substr(ObjectsPath.size());
    const std::size_t slash = rest.find('/');
    const std::string kind = decoded(rest.substr(0, slash));
    if (slash == std::string::npos) {
        runOnKind(exchange, kind);
    } else {
        runOnObject(exchange, kind, decoded(rest.substr(slash + 1)));
    }
}

void StandInStore::runOnKind(const HttpExchangePtr &exchange, const std::string &kind)
{
    const bool isWatch = exchange->method() == "GET" && !exchange->query("watch").empty();
    const bool isList = exchange->method() == "GET" && !isWatch;
    const bool isCreation = exchange->method() == "POST";
    if (!isWatch && !isList && !isCreation) {
        exchange->reply(HttpStatus::MethodNotAllowed, {}, "");
        return;
    }
    ++m_counters[isWatch ? "watch" : (isList ? "list" : "put")];
    if (m_faults.outage) {
        ++m_counters["unavailable"];
        answer(exchange, HttpStatus::ServiceUnavailable, nullptr);
    } else if (isWatch) {
        watch(exchange, kind);
    } else if (isList) {
        list(exchange, kind);
    } else {
        create(exchange, kind);
    }
}

void StandInStore::runOnObject(const HttpExchangePtr &exchange, const std::string &kind,
                               const std::string &name)
{
    const std::string &method = exchange->method();
    if (method != "GET" && method != "PUT" && method != "DELETE") {
        exchange->reply(HttpStatus::MethodNotAllowed, {}, "");
        return;
    }
    ++m_counters[method == "GET" ? "get" : (method == "PUT" ? "put" : "delete")];
    if (m_faults.outage) {
        ++m_counters["unavailable"];
        answer(exchange, HttpStatus::ServiceUnavailable, nullptr);
        return;
    }
    const StandInObjects::Object *object = m_objects.find(kind, name);
    if (object == nullptr) {
        answer(exchange, HttpStatus::NotFound, nullptr);
    } else if (method == "GET") {
        answer(exchange, HttpStatus::Ok, object->toJson());
    } else if (method == "PUT") {
        replace(exchange, kind, name);
    } else {
        remove(exchange, kind, name);
    }
}

void StandInStore::list(const HttpExchangePtr &exchange, const std::string &kind)
{
    std::vector<StandInObjects::Object> objects = m_objects.list(kind, exchange->query("after"));
    const bool hasMore = objects.size() > PageLength;
    objects.resize(std::min(objects.size(), PageLength));
    nlohmann::json items = nlohmann::json::array();
    for (const StandInObjects::Object &it : objects) {
        items.push_back(it.toJson());
    }
    answer(exchange, HttpStatus::Ok,
           { { "items", std::move(items) },
             { "has_more", hasMore },
             { "as_of", m_objects.revision() } });
}

void StandInStore::create(const HttpExchangePtr &exchange, const std::string &kind)
{
    const nlohmann::json body = nlohmann::json::parse(exchange->body(), nullptr, false);
    if (!body.is_object() || !body.contains("metadata") || !body.contains("spec")) {
        answer(exchange, HttpStatus::BadRequest, "expected an object with metadata and spec");
        return;
    }
    const std::string name = body["metadata"].value("name", "");
    if (const StandInObjects::Object *object = m_objects.find(kind, name)) {
        ++m_counters["conflicts"];
        answer(exchange, HttpStatus::Conflict, object->toJson());
        return;
    }
    m_objects.put(kind, name, body["spec"]);
    answerWrite(exchange, m_objects.find(kind, name)->toJson());
}

void StandInStore::replace(const HttpExchangePtr &exchange, const std::string &kind,
                           const std::string &name)
{
    const nlohmann::json body = nlohmann::json::parse(exchange->body(), nullptr, false);
    if (!body.is_object() || !body.contains("metadata") || !body.contains("spec")) {
        answer(exchange, HttpStatus::BadRequest, "expected an object with metadata and spec");
        return;
    }
    const StandInObjects::Object *object = m_objects.find(kind, name);
    const std::uint64_t revision = body["metadata"].value("revision", object->revision);
    if (revision != object->revision) {
        ++m_counters["conflicts"];
        answer(exchange, HttpStatus::Conflict, object->toJson());
        return;
    }
    m_objects.put(kind, name, body["spec"]);
    answerWrite(exchange, m_objects.find(kind, name)->toJson());
}

void StandInStore::remove(const HttpExchangePtr &exchange, const std::string &kind,
                          const std::string &name)
{
    const StandInObjects::Object *object = m_objects.find(kind, name);
    const std::optional<std::uint64_t> revision =
            parseNumber<std::uint64_t>(exchange->query("revision"));
    if (revision.has_value() && *revision != object->revision) {
        ++m_counters["conflicts"];
        answer(exchange, HttpStatus::Conflict, object->toJson());
        return;
    }
    const nlohmann::json removed = object->toJson();
    m_objects.remove(kind, name);
    answerWrite(exchange, removed);
}

void StandInStore::watch(const HttpExchangePtr &exchange, const std::string &kind)
{
    const std::optional<std::uint64_t> afterRevision =
            parseNumber<std::uint64_t>(exchange->query("watch"));
    const std::optional<std::uint64_t> waitMs =
            parseNumber<std::uint64_t>(exchange->query("wait_ms"));
    if (!afterRevision.has_value() || !waitMs.has_value()) {
        answer(exchange, HttpStatus::BadRequest,
               "watch and wait_ms must both be given as non-negative integers");
        return;
    }
    if (answerChanges(exchange, kind, *afterRevision, *waitMs == 0)) {
        return;
    }
    m_watches.emplace_back();
    const auto it = std::prev(m_watches.end());
    it->exchange = exchange;
    it->kind = kind;
    it->after = *afterRevision;
    it->timeout = m_loop.schedule(milliseconds(*waitMs), [this, it] {
        const HttpExchangePtr due = it->exchange;
        const std::string watched = it->kind;
        const std::uint64_t after = it->after;
        m_watches.erase(it);
        answerChanges(due, watched, after, true);
    });
    const HttpExchange *watched = exchange.get();
    exchange->disconnected().connect([this, watched] {
        m_watches.remove_if(
                [watched](const Watch &watch) { return watch.exchange.get() == watched; });
    });
}

bool StandInStore::answerChanges(const HttpExchangePtr &exchange, const std::string &kind,
                                 std::uint64_t after, bool waitIsOver)
{
    const std::optional<std::vector<StandInObjects::Change>> changes =
            m_objects.changesSince(kind, after);
    if (!changes.has_value()) {
        answer(exchange, HttpStatus::Gone, nullptr);
        return true;
    }
    if (changes->empty() && !waitIsOver) {
        return false;
    }
    nlohmann::json events = nlohmann::json::array();
    for (const StandInObjects::Change &it : *changes) {
        events.push_back({ { "deleted", it.isRemoval }, { "object", it.object.toJson() } });
    }
    answer(exchange, HttpStatus::Ok,
           { { "events", std::move(events) }, { "as_of", m_objects.revision() } });
    return true;
}

void StandInStore::answerWrite(const HttpExchangePtr &exchange, const nlohmann::json &object)
{
    if (m_faults.loseAnswers > 0) {
        --m_faults.loseAnswers;
        ++m_counters["lostAnswers"];
        after(m_faults.delay, [exchange] { exchange->abort(); });
    } else {
        answer(exchange, HttpStatus::Ok, object);
    }
    answerChangedWatches();
}

HttpHeaders StandInStore::eraHeader() const
{
    HttpHeaders headers = jsonHeader();
    headers.add("Store-Era", std::to_string(m_objects.era()));
    return headers;
}

void StandInStore::answer(const HttpExchangePtr &exchange, int status, const nlohmann::json &body)
{
    const std::string text = body.is_null() ? std::string() : body.dump();
    after(m_faults.delay, [exchange, status, text, headers = eraHeader()] {
        exchange->reply(status, headers, text);
    });
}

void StandInStore::answerChangedWatches()
{
    for (auto it = m_watches.begin(); it != m_watches.end();) {
        const auto watching = it++;
        if (answerChanges(watching->exchange, watching->kind, watching->after, false)) {
            m_watches.erase(watching);
        }
    }
}

} // namespace Tarragon
