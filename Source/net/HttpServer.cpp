#include "net/HttpServer.h"

#include "base/Error.h"
#include "net/Guard.h"
#include "net/HttpServerState.h"
#include "net/SocketAddress.h"

#include <event2/event.h>
#include <event2/http.h>
#include <event2/listener.h>

#include <algorithm>
#include <cerrno>
#include <cstring>
#include <exception>

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>

namespace Tarragon {

namespace {

/// Maximum number of connections waiting to be accepted; a surge of callers must not be refused.
constexpr int ListenBacklog = 1024;

constexpr ev_uint16_t AllowedMethods = EVHTTP_REQ_GET | EVHTTP_REQ_HEAD | EVHTTP_REQ_POST
                                       | EVHTTP_REQ_PUT | EVHTTP_REQ_DELETE | EVHTTP_REQ_OPTIONS
                                       | EVHTTP_REQ_PATCH;

/// Maximum time that a closing listener goes on accepting while new connections keep arriving.
constexpr milliseconds MaxFinalAcceptTime{ 200 };

bufferevent *makeBufferEvent(event_base *, void *arg)
{
    HttpServer::State *state = static_cast<HttpServer::State *>(arg);
    bufferevent *result = nullptr;
    guarded("HTTP server", [state, &result] {
        const std::shared_ptr<HttpServerConnection> connection =
                std::make_shared<HttpServerConnection>(*state);
        state->connections.emplace(connection.get(), connection);
        state->newConnections.push_back(connection.get());
        event_active(state->attachEvent, EV_TIMEOUT, 0);
        result = connection->bufferEvent();
    });
    return result;
}

void onAttach(evutil_socket_t, short, void *arg)
{
    static_cast<HttpServer::State *>(arg)->attachNewConnections();
}

void onRequest(evhttp_request *request, void *arg)
{
    const HttpServer::State *state = static_cast<HttpServer::State *>(arg);
    if (state->current == nullptr) {
        evhttp_send_error(request, HTTP_INTERNAL, nullptr);
        return;
    }
    state->current->onRequest(request);
}

} // namespace

HttpServer::State::State(EventLoop &eventLoop, const HttpServerLimits &serverLimits,
                         Handler requestHandler)
    : loop(eventLoop)
    , limits(serverLimits)
    , handler(std::move(requestHandler))
    , idle(eventLoop, limits.idleTimeout)
    , partialHeads(eventLoop, limits.headerTimeout)
    , writing(eventLoop, limits.writeTimeout)
    , lingering(eventLoop)
{
    http = evhttp_new(loop.base());
    attachEvent = evtimer_new(loop.base(), onAttach, this);
    if (http == nullptr || attachEvent == nullptr) {
        throw Error("libevent could not make an HTTP server");
    }
    evhttp_set_bevcb(http, makeBufferEvent, this);
    evhttp_set_gencb(http, onRequest, this);
    evhttp_set_allowed_methods(http, AllowedMethods);
    evhttp_set_default_content_type(http, nullptr);
    setLimits(serverLimits);
}

HttpServer::State::~State()
{
    attachNewConnections();
    isEnding = true;
    evhttp_free(http);
    event_free(attachEvent);
}

void HttpServer::State::setLimits(const HttpServerLimits &newLimits)
{
    limits = newLimits;
    idle.setDuration(limits.idleTimeout);
    partialHeads.setDuration(limits.headerTimeout);
    writing.setDuration(limits.writeTimeout);
}

void HttpServer::State::attachNewConnections()
{
    for (HttpServerConnection *connection : newConnections) {
        connection->attach();
    }
    newConnections.clear();
}

void HttpServer::State::remove(HttpServerConnection *connection)
{
    connections.erase(connection);
}

void HttpServer::State::handle(const HttpExchangePtr &exchange) const
{
    try {
        handler(exchange);
    } catch (const std::exception &error) {
        if (exchange->isEnded()) {
            logCallbackError("HTTP server", error);
        } else {
            exchange->fail(error.what());
        }
    }
}

void HttpServer::State::listen(const std::string &address, std::uint16_t requestedPort)
{
    const std::optional<SocketAddress> socketAddress = parseSocketAddress(address, requestedPort);
    if (!socketAddress.has_value()) {
        throw Error("listen address is \"" + address + "\", expected an IP address");
    }
    evconnlistener *connectionListener = evconnlistener_new_bind(
            loop.base(), nullptr, nullptr,
            LEV_OPT_REUSEABLE | LEV_OPT_CLOSE_ON_EXEC | LEV_OPT_CLOSE_ON_FREE, ListenBacklog,
            socketAddress->data(), int(socketAddress->length));
    if (connectionListener == nullptr) {
        throw Error("cannot listen on " + address + " port " + std::to_string(requestedPort) + ": "
                    + std::strerror(errno));
    }
    // Accepted sockets inherit TCP_NODELAY.
    const int on = 1;
    const evutil_socket_t fd = evconnlistener_get_fd(connectionListener);
    setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    listener = evhttp_bind_listener(http, connectionListener);
    if (listener == nullptr) {
        evconnlistener_free(connectionListener);
        throw Error("evhttp could not use the listener on " + address + " port "
                    + std::to_string(requestedPort));
    }
    listening = true;
    SocketAddress bound;
    bound.length = sizeof bound.storage;
    getsockname(fd, reinterpret_cast<sockaddr *>(&bound.storage), &bound.length);
    port = bound.port();
}

void HttpServer::State::stopListening()
{
    if (listening) {
        listening = false;
        closeListenerDeadline = loop.now() + MaxFinalAcceptTime;
        closeListener();
    }
}

void HttpServer::State::closeListener()
{
    // Closing a listener makes the kernel reset connections that have not been accepted yet.
    pollfd waiting{ evhttp_bound_socket_get_fd(listener), POLLIN, 0 };
    const MonotonicTime now = loop.now();
    if (poll(&waiting, 1, 0) > 0
        && (now < closeListenerDeadline || acceptGrace.mustWait(true, now))) {
        closeTimer = loop.schedule(microseconds(0), [this] { closeListener(); });
        return;
    }
    evhttp_del_accept_socket(http, listener);
    listener = nullptr;
}

bool HttpServer::State::isQuiet() const
{
    const MonotonicTime now = loop.now();
    return listener == nullptr && lingering.isEmpty()
           && std::none_of(connections.begin(), connections.end(),
                           [now](const auto &it) { return it.first->mustStayOpen(now); });
}

HttpServer::HttpServer(EventLoop &loop, const std::string &address, std::uint16_t port,
                       const HttpServerLimits &limits, Handler handler)
    : m_state(std::make_shared<State>(loop, limits, std::move(handler)))
{
    m_state->listen(address, port);
}

HttpServer::~HttpServer() = default;

std::uint16_t HttpServer::port() const
{
    return m_state->port;
}

void HttpServer::setLimits(const HttpServerLimits &limits)
{
    m_state->setLimits(limits);
}

void HttpServer::closeAfterResponses()
{
    m_state->closesAfterResponses = true;
}

void HttpServer::stopListening()
{
    m_state->stopListening();
}

bool HttpServer::isQuiet() const
{
    return m_state->isQuiet();
}

std::size_t HttpServer::connectionCount() const
{
    return m_state->connections.size();
}

std::size_t HttpServer::lingeringCount() const
{
    return m_state->lingering.size();
}

std::size_t HttpServer::exchangesInProgress() const
{
    return m_state->exchangesInProgress;
}

} // namespace Tarragon
