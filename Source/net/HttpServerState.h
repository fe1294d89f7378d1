#pragma once

#include "net/HttpServer.h"
#include "net/HttpServerConnection.h"

#include <unordered_map>
#include <vector>

#include <sys/time.h>

struct event;
struct evhttp;
struct evhttp_bound_socket;
struct evhttp_request;

namespace Tarragon {

/// What the connections of a server share.
struct HttpServer::State
{
    State(EventLoop &eventLoop, const HttpServerLimits &serverLimits, Handler requestHandler);
    ~State();
    State(const State &) = delete;
    State &operator=(const State &) = delete;

    void listen(const std::string &address, std::uint16_t port);
    void setLimits(const HttpServerLimits &newLimits);
    void stopListening();
    /// Closes the listener as soon as no connection waits to be accepted.
    void closeListener();
    bool isQuiet() const;
    void attachNewConnections();
    void remove(HttpServerConnection *connection);

    EventLoop &loop;
    HttpServerLimits limits;
    Handler handler;
    /// The idle time as a common timeout of libevent, which is cheaper to set than others.
    const timeval *idleTimeout = nullptr;
    evhttp *http = nullptr;
    evhttp_bound_socket *listener = nullptr;
    std::uint16_t port = 0;
    bool listening = false;
    MonotonicTime closeListenerBy;
    Timer closeTimer;
    bool closesAfterResponses = false;
    std::size_t exchangesInProgress = 0;
    std::unordered_map<HttpServerConnection *, std::shared_ptr<HttpServerConnection>> connections;
    /// Connections that evhttp has not finished setting up.
    std::vector<HttpServerConnection *> newConnections;
    event *attachEvent = nullptr;
    /// The connection whose input evhttp parses at present.
    HttpServerConnection *current = nullptr;
};

} // namespace Tarragon
