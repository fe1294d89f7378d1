#pragma once

#include "base/Units.h"
#include "net/EventLoop.h"
#include "net/HttpExchange.h"
#include "net/HttpServerLimits.h"

#include <cstdint>
#include <memory>
#include <string>

namespace Tarragon {

/// HTTP/1.1 server on evhttp. Requests are handed over when their body is complete. Requests that
/// cannot be parsed are answered with an error by the server and never reach the handler.
class HttpServer
{
public:
    struct State;
    using Handler = sigc::slot<void(const HttpExchangePtr &)>;

    /// Listens on the address; port 0 takes a free port. Throws Error if it cannot listen.
    HttpServer(EventLoop &loop, const std::string &address, std::uint16_t port,
               const HttpServerLimits &limits, Handler handler);
    ~HttpServer();
    HttpServer(const HttpServer &) = delete;
    HttpServer &operator=(const HttpServer &) = delete;

    /// The port that is listened on.
    std::uint16_t port() const;
    /// Changes the limits; for requests whose head has not been read yet, and the idle time from
    /// the next request or connection on. Throws Error if libevent cannot take the idle time.
    void setLimits(const HttpServerLimits &limits);
    /// Has callers leave with their next answer, which carries "Connection: close", while new
    /// connections are still accepted.
    void closeAfterResponses();
    /// Stops accepting connections, once those that wait already have been accepted; running
    /// exchanges go on, and their answers carry "Connection: close".
    void stopListening();
    /// Whether ending the server cuts off nobody: it accepts no connections, no exchange is in
    /// progress, no request has begun to arrive, and no connection is so new that its first request
    /// may be on its way.
    bool isQuiet() const;
    /// Connections that callers have open.
    std::size_t connectionCount() const;
    /// Number of exchanges that have not ended.
    std::size_t exchangesInProgress() const;

private:
    std::shared_ptr<State> m_state;
};

} // namespace Tarragon
