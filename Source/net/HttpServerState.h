#pragma once

#include "net/HttpServer.h"
#include "net/HttpServerConnection.h"
#include "net/InputGrace.h"
#include "net/LingeringConnections.h"
#include "net/MemoryBudget.h"
#include "net/TimeoutQueue.h"

#include <unordered_map>
#include <vector>

struct event;
struct evhttp;
struct evhttp_bound_socket;
struct evhttp_request;

namespace Tarragon {

/// State that the connections of a server share.
struct HttpServer::State
{
    State(EventLoop &eventLoop, const HttpServerLimits &serverLimits, Handler requestHandler);
    ~State();
    State(const State &) = delete;
    State &operator=(const State &) = delete;

    void listen(const std::string &address, std::uint16_t port);
    void setLimits(const HttpServerLimits &newLimits);
    void stopListening();
    /// Closes the listener as soon as no connection is waiting to be accepted, at the latest at
    /// closeListenerDeadline.
    void closeListener();
    /// See the function of the same name in HttpServer.
    bool isQuiet() const;
    void attachNewConnections();
    void remove(HttpServerConnection *connection);
    /// Passes a request to the handler. If that throws, the exchange fails.
    void handle(const HttpExchangePtr &exchange) const;

    EventLoop &loop;
    HttpServerLimits limits;
    MemoryBudget &budget = MemoryBudget::ofProcess();
    Handler handler;
    /// Connections that wait for a request, for the rest of a request head, and for the peer to
    /// read a response.
    TimeoutQueue idle;
    TimeoutQueue partialHeads;
    TimeoutQueue writing;
    evhttp *http = nullptr;
    evhttp_bound_socket *listener = nullptr;
    std::uint16_t port = 0;
    bool listening = false;
    MonotonicTime closeListenerDeadline;
    InputGrace acceptGrace;
    Timer closeTimer;
    bool closesAfterResponses = false;
    /// Whether the server is being destroyed.
    bool isEnding = false;
    std::size_t exchangesInProgress = 0;
    std::unordered_map<HttpServerConnection *, std::shared_ptr<HttpServerConnection>> connections;
    LingeringConnections lingering;
    /// Connections whose callbacks evhttp has not set yet; attached in the next iteration of the
    /// loop.
    std::vector<HttpServerConnection *> newConnections;
    event *attachEvent = nullptr;
    /// The connection whose input evhttp is parsing, null outside of that; identifies the
    /// connection of a new request.
    HttpServerConnection *current = nullptr;
};

} // namespace Tarragon
