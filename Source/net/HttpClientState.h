#pragma once

#include "net/HttpClient.h"
#include "net/HttpClientConnection.h"

#include <map>
#include <unordered_map>
#include <utility>
#include <vector>

namespace Tarragon {

/// The connections of a client.
struct HttpClient::State
{
    using Destination = std::pair<std::string, std::uint16_t>;

    explicit State(EventLoop &eventLoop);
    ~State();
    State(const State &) = delete;
    State &operator=(const State &) = delete;

    /// Returns an idle connection from which the request's id is not excluded, that the peer has
    /// not closed and whose last response is not older than the request permits, or a new
    /// connection.
    HttpClientConnection &connectionFor(const HttpRequest &request);
    /// Keeps an idle connection for a later call, or closes it if maxIdleConnections are kept
    /// already.
    void keep(HttpClientConnection &connection);
    void removeIdle(HttpClientConnection &connection);
    /// Closes and destroys a connection. If one of its callbacks is running, the connection is
    /// destroyed in a later iteration of the loop.
    void discard(HttpClientConnection &connection);
    /// Fails the call in a later iteration of the loop, because send() must not call handlers.
    void failLater(std::shared_ptr<HttpCall::State> call, const HttpFailure &failure);
    /// Destroys the discarded connections and reports the failures of failLater().
    void runDeferred();

    EventLoop &loop;
    std::size_t maxIdleConnections = 64;
    ConnectionNumber lastConnection;
    std::unordered_map<HttpClientConnection *, std::unique_ptr<HttpClientConnection>> connections;
    std::map<Destination, std::vector<HttpClientConnection *>> idleConnections;
    std::vector<std::unique_ptr<HttpClientConnection>> discarded;
    std::vector<std::pair<std::shared_ptr<HttpCall::State>, HttpFailure>> failures;
    event *deferredEvent = nullptr;
};

} // namespace Tarragon
