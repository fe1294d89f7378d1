#pragma once

#include "net/Backoff.h"
#include "net/EventLoop.h"
#include "net/RpcStream.h"

#include <cstdint>
#include <string>

struct event;

namespace Tarragon {

/// Times of an RpcConnector.
struct RpcConnectorOptions
{
    microseconds connectTimeout{ 1'000'000 };
    /// Pauses between attempts. The longest one counts against the 3 s in which a healed failure
    /// domain has to catch up.
    microseconds shortestPause{ 50'000 };
    microseconds longestPause{ 800'000 };
};

/// Makes a connection to one address, again and again until it succeeds. There is at most one
/// connection or attempt at a time.
class RpcConnector
{
public:
    /// The handler moves the stream out. It is called from the loop.
    using Handler = sigc::slot<void(kj::Own<RpcStream> &)>;

    /// Begins to connect at once. Throws Error if the address is not an IP address.
    RpcConnector(EventLoop &loop, const std::string &address, std::uint16_t port,
                 const RpcConnectorOptions &options, std::uint64_t seed, Handler handler);
    ~RpcConnector();
    RpcConnector(const RpcConnector &) = delete;
    RpcConnector &operator=(const RpcConnector &) = delete;

    /// The connection that was handed over has ended; connects again after a pause.
    void connectionLost();
    /// The connection has proved to work; the next pause is the shortest again. A server that
    /// accepts and closes at once would otherwise be called without a growing pause.
    void connectionProved() { m_backoff.reset(); }

private:
    struct Callbacks;

    void connect();
    void onWritable();
    void retry();
    void closeAttempt();

    EventLoop &m_loop;
    std::string m_address;
    std::uint16_t m_port;
    RpcConnectorOptions m_options;
    Backoff m_backoff;
    Handler m_handler;
    evutil_socket_t m_socket = -1;
    event *m_event = nullptr;
    Timer m_timeout;
    Timer m_retry;
};

} // namespace Tarragon
