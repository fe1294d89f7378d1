#include "net/HttpClient.h"

#include "base/Error.h"
#include "net/Guard.h"
#include "net/HttpCallState.h"
#include "net/HttpClientState.h"
#include "net/HttpSyntax.h"
#include "net/SocketAddress.h"

#include <event2/event.h>
#include <event2/http.h>

#include <algorithm>
#include <array>

namespace Tarragon {

namespace {

evhttp_cmd_type methodType(const std::string &method)
{
    static constexpr std::array<std::pair<std::string_view, evhttp_cmd_type>, 7> Methods = { {
            { "GET", EVHTTP_REQ_GET },
            { "HEAD", EVHTTP_REQ_HEAD },
            { "POST", EVHTTP_REQ_POST },
            { "PUT", EVHTTP_REQ_PUT },
            { "DELETE", EVHTTP_REQ_DELETE },
            { "OPTIONS", EVHTTP_REQ_OPTIONS },
            { "PATCH", EVHTTP_REQ_PATCH },
    } };
    const auto it = std::find_if(Methods.begin(), Methods.end(),
                                 [&method](const auto &entry) { return entry.first == method; });
    if (it == Methods.end()) {
        throw Error("HTTP method is \"" + method
                    + "\", expected GET, HEAD, POST, PUT, DELETE, OPTIONS or PATCH");
    }
    return it->second;
}

void checkTarget(const std::string &uri)
{
    if (!uri.starts_with('/')
        || !std::all_of(uri.begin(), uri.end(), [](char ch) { return ch > ' ' && ch != 0x7f; })) {
        throw Error("HTTP request target is \"" + uri
                    + "\", expected a path without spaces or control characters");
    }
}

void onDeferred(evutil_socket_t, short, void *arg)
{
    static_cast<HttpClient::State *>(arg)->runDeferred();
}

/// Collects a response for fetch().
struct ResponseCollector
{
    HttpResponse response;
    std::weak_ptr<HttpCall::State> call;
    std::size_t maxBody = 0;
    sigc::slot<void(const HttpResponse &)> onResponse;
    sigc::slot<void(const HttpFailure &)> onFailure;

    void append(std::string_view data)
    {
        if (response.body.size() + data.size() <= maxBody) {
            response.body.append(data);
            return;
        }
        if (const std::shared_ptr<HttpCall::State> state = call.lock()) {
            HttpFailure failure;
            failure.stage = HttpStage::Body;
            failure.anySent = true;
            failure.isBodyTooLong = true;
            failure.reason = "response body above " + std::to_string(maxBody) + " bytes";
            const sigc::slot<void(const HttpFailure &)> callback = onFailure;
            state->cancel();
            callback(failure);
        }
    }
};

} // namespace

HttpClient::State::State(EventLoop &eventLoop)
    : loop(eventLoop)
{
    deferredEvent = evtimer_new(loop.base(), onDeferred, this);
    if (deferredEvent == nullptr) {
        throw Error("libevent could not make an event");
    }
}

HttpClient::State::~State()
{
    event_free(deferredEvent);
}

HttpClientConnection &HttpClient::State::connectionFor(const HttpRequest &request)
{
    const Destination destination(request.address, request.port);
    const auto it = idleConnections.find(destination);
    if (it != idleConnections.end()) {
        // The most recently used connections are last.
        std::vector<HttpClientConnection *> &idle = it->second;
        for (std::size_t n = idle.size(); n > 0; --n) {
            HttpClientConnection *connection = idle[n - 1];
            if (connection->isExcluded(request.id)) {
                continue;
            }
            idle.erase(idle.begin() + std::ptrdiff_t(n - 1));
            if (connection->isUsable(request.maxIdleTime)) {
                return *connection;
            }
            discard(*connection);
        }
    }
    lastConnection = lastConnection.next();
    std::unique_ptr<HttpClientConnection> connection =
            std::make_unique<HttpClientConnection>(*this, lastConnection, destination);
    HttpClientConnection &result = *connection;
    connections.emplace(&result, std::move(connection));
    return result;
}

void HttpClient::State::keep(HttpClientConnection &connection)
{
    std::vector<HttpClientConnection *> &idle = idleConnections[connection.destination()];
    if (idle.size() >= maxIdleConnections) {
        discard(connection);
        return;
    }
    idle.push_back(&connection);
    connection.becomeIdle();
}

void HttpClient::State::removeIdle(HttpClientConnection &connection)
{
    const auto it = idleConnections.find(connection.destination());
    if (it == idleConnections.end()) {
        return;
    }
    std::erase(it->second, &connection);
    if (it->second.empty()) {
        idleConnections.erase(it);
    }
}

void HttpClient::State::discard(HttpClientConnection &connection)
{
    const auto it = connections.find(&connection);
    if (it == connections.end()) {
        return;
    }
    std::unique_ptr<HttpClientConnection> owned = std::move(it->second);
    connections.erase(it);
    if (owned->isInCallback()) {
        discarded.push_back(std::move(owned));
        event_active(deferredEvent, EV_TIMEOUT, 0);
    }
}

void HttpClient::State::failLater(std::shared_ptr<HttpCall::State> call, const HttpFailure &failure)
{
    failures.emplace_back(std::move(call), failure);
    event_active(deferredEvent, EV_TIMEOUT, 0);
}

void HttpClient::State::runDeferred()
{
    // The connections were discarded within callbacks of evhttp. These have returned by now, so
    // that evhttp no longer uses the connections.
    discarded.clear();
    const std::vector<std::pair<std::shared_ptr<HttpCall::State>, HttpFailure>> pendingFailures =
            std::exchange(failures, {});
    for (const auto &[call, failure] : pendingFailures) {
        if (!call->ended) {
            call->fail(failure);
        }
    }
}

HttpClient::HttpClient(EventLoop &loop)
    : m_state(std::make_shared<State>(loop))
{}

HttpClient::~HttpClient() = default;

HttpCallPtr HttpClient::send(const HttpRequest &request, HttpCallHandlers handlers)
{
    const evhttp_cmd_type method = methodType(request.method);
    checkTarget(request.uri);
    checkHeaders(request.headers);
    std::shared_ptr<HttpCall::State> call = std::make_shared<HttpCall::State>();
    call->handlers = std::move(handlers);
    if (parseSocketAddress(request.address, request.port).has_value()) {
        m_state->connectionFor(request).start(request, method, call);
    } else {
        HttpFailure failure;
        failure.reason = "address is \"" + request.address + "\", expected an IP address";
        m_state->failLater(call, failure);
    }
    return std::make_unique<HttpCall>(std::move(call));
}

HttpCallPtr HttpClient::fetch(const HttpRequest &request, ByteCount maxBody,
                              sigc::slot<void(const HttpResponse &)> onResponse,
                              sigc::slot<void(const HttpFailure &)> onFailure)
{
    const std::shared_ptr<ResponseCollector> collector = std::make_shared<ResponseCollector>();
    collector->maxBody = maxBody.value;
    collector->onResponse = std::move(onResponse);
    collector->onFailure = std::move(onFailure);
    HttpCallHandlers handlers;
    handlers.onHead = [collector](const HttpResponseHead &head) {
        collector->response.head = head;
    };
    handlers.onData = [collector](std::string_view data) { collector->append(data); };
    handlers.onComplete = [collector] { collector->onResponse(collector->response); };
    handlers.onFailure = [collector](const HttpFailure &failure) { collector->onFailure(failure); };
    HttpCallPtr call = send(request, std::move(handlers));
    collector->call = call->state();
    return call;
}

void HttpClient::setMaxIdleConnections(std::size_t count)
{
    m_state->maxIdleConnections = count;
}

} // namespace Tarragon
