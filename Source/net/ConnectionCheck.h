#pragma once

#include "net/EventLoop.h"

#include <event2/util.h>

#include <cstdint>
#include <string>

struct event;

namespace Tarragon {

/// How an attempt to connect ended.
enum class ConnectionOutcome {
    Accepted,
    /// The peer's machine has no listener at the address: the process that had it has ended.
    Refused,
    /// Neither happened within the timeout, or the check failed locally.
    Unknown,
};

/// Connects to an address once and closes the connection at once, to tell whether a process still
/// listens there. Destroying the check cancels it.
class ConnectionCheck
{
public:
    using Handler = sigc::slot<void(ConnectionOutcome)>;

    /// Calls the handler once from the loop, which may destroy the check.
    ConnectionCheck(EventLoop &loop, const std::string &address, std::uint16_t port,
                    milliseconds timeout, Handler handler);
    ~ConnectionCheck();
    ConnectionCheck(const ConnectionCheck &) = delete;
    ConnectionCheck &operator=(const ConnectionCheck &) = delete;

private:
    struct Callbacks;

    void connect(const std::string &address, std::uint16_t port, milliseconds timeout);
    void onWritable();
    void onTimeout();
    void end(ConnectionOutcome outcome);
    void close();

    EventLoop &m_loop;
    Handler m_handler;
    evutil_socket_t m_socket = -1;
    event *m_event = nullptr;
    Timer m_timer;
};

} // namespace Tarragon
