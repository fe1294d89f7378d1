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

    /// A kept connection that the peer has not closed, or a new one.
    HttpClientConnection &connectionTo(const Destination &destination);
    /// Keeps a connection for the next call; closes it if there are enough.
    void keep(HttpClientConnection &connection);
    void removeIdle(HttpClientConnection &connection);
    /// Closes and destroys a connection; in a later iteration if one of its callbacks is running.
    void discard(HttpClientConnection &connection);
    /// Fails the call from the loop.
    void failLater(std::shared_ptr<HttpCall::State> call, const HttpFailure &failure);
    void runDeferred();

    EventLoop &loop;
    std::size_t maxIdleConnections = 64;
    std::unordered_map<HttpClientConnection *, std::unique_ptr<HttpClientConnection>> connections;
    std::map<Destination, std::vector<HttpClientConnection *>> idleConnections;
    std::vector<std::unique_ptr<HttpClientConnection>> discarded;
    std::vector<std::pair<std::shared_ptr<HttpCall::State>, HttpFailure>> failures;
    event *deferredEvent = nullptr;
};

} // namespace Tarragon
