#pragma once

#include "net/Backoff.h"
#include "net/EventLoop.h"
#include "net/RpcStream.h"

#include <cstdint>
#include <string>

struct event;

namespace Tarragon {

/// Timeouts and delays of an RpcConnector.
struct RpcConnectorOptions
{
    microseconds connectTimeout{ 1'000'000 };
    /// Bounds of the backoff between attempts. The maximum is part of the 3 s within which a
    /// failure domain must have caught up after an outage.
    microseconds minBackoff{ 50'000 };
    microseconds maxBackoff{ 800'000 };
};

/// Connects to one address and retries with exponential backoff until it succeeds. There is at most
/// one connection or attempt at a time.
class RpcConnector
{
public:
    /// Receives the connected stream, which it must move out of its argument. Called from the loop.
    /// If it throws, the connector connects again after the next backoff delay.
    using Handler = sigc::slot<void(kj::Own<RpcStream> &)>;

    /// Starts to connect in the next iteration of the loop. Throws Error if the address is not an
    /// IP address.
    RpcConnector(EventLoop &loop, const std::string &address, std::uint16_t port,
                 const RpcConnectorOptions &options, std::uint64_t seed, Handler handler);
    ~RpcConnector();
    RpcConnector(const RpcConnector &) = delete;
    RpcConnector &operator=(const RpcConnector &) = delete;

    /// Must be called when the connection passed to the handler has ended; reconnects after the
    /// next backoff delay.
    void connectionLost();
    /// Resets the backoff to its minimum. Must be called only after the connection has carried a
    /// successful call: a server that accepts and closes at once would otherwise be retried without
    /// growing backoff.
    void connectionProved() { m_backoff.reset(); }

private:
    struct Callbacks;

    void connect();
    void onWritable();
    void onTimeout();
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
