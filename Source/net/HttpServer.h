#pragma once

#include "base/Units.h"
#include "net/EventLoop.h"
#include "net/HttpExchange.h"
#include "net/HttpServerLimits.h"

#include <cstdint>
#include <memory>
#include <string>

namespace Tarragon {

/// HTTP/1.1 server on evhttp. The handler is called when the body of a request is complete. The
/// server itself responds with an error to malformed requests; these never reach the handler.
class HttpServer
{
public:
    struct State;
    using Handler = sigc::slot<void(const HttpExchangePtr &)>;

    /// Listens on the address; port 0 selects a free port. Throws Error if it cannot listen.
    HttpServer(EventLoop &loop, const std::string &address, std::uint16_t port,
               const HttpServerLimits &limits, Handler handler);
    ~HttpServer();
    HttpServer(const HttpServer &) = delete;
    HttpServer &operator=(const HttpServer &) = delete;

    /// Returns the port that the server listens on.
    std::uint16_t port() const;
    /// Changes the limits, for all open connections at once. Sizes apply to requests whose head has
    /// not been read yet. A time limit that is reduced holds for what begins after the change.
    void setLimits(const HttpServerLimits &limits);
    /// Makes the server close every connection after the next response on it, which carries
    /// "Connection: close". New connections are still accepted.
    void closeAfterResponses();
    /// Stops accepting connections after those in the listen backlog have been accepted. Exchanges
    /// in progress continue, and their responses carry "Connection: close".
    void stopListening();
    /// Whether the server can be destroyed without interrupting a request or cutting a response:
    /// the listener is closed, no exchange is in progress, no request has begun to arrive, no
    /// connection is so new that its first request may still be in transit, all responses have been
    /// acknowledged, and no closed connection lingers.
    bool isQuiet() const;
    /// Returns the number of open connections.
    std::size_t connectionCount() const;
    /// Returns the number of connections that were closed and whose peers may not have read all
    /// responses.
    std::size_t lingeringCount() const;
    /// Returns the number of exchanges whose response has not been written completely.
    std::size_t exchangesInProgress() const;

private:
    std::shared_ptr<State> m_state;
};

} // namespace Tarragon
