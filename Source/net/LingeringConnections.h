#pragma once

#include "net/ConnectionAccount.h"
#include "net/ConnectionCloses.h"
#include "net/EventLoop.h"
#include "net/LingeringClose.h"

#include <event2/util.h>

#include <cstddef>
#include <memory>
#include <unordered_map>

namespace Tarragon {

/// The sockets of a server's connections that have ended, until their peers have read what was
/// written to them. The sockets still count towards the MemoryBudget, which may close them.
class LingeringConnections
{
public:
    explicit LingeringConnections(EventLoop &loop);
    /// Closes all sockets.
    ~LingeringConnections();
    LingeringConnections(const LingeringConnections &) = delete;
    LingeringConnections &operator=(const LingeringConnections &) = delete;

    /// Takes ownership of a socket to which nothing further is written, and of its account. Further
    /// input is added to what was not processed before.
    void add(evutil_socket_t fd, const ClosedConnection &closed,
             std::unique_ptr<ConnectionAccount> account, const LingerLimits &limits,
             UnprocessedInput unprocessed);
    bool isEmpty() const { return m_connections.empty(); }
    std::size_t size() const { return m_connections.size(); }

private:
    struct Connection
    {
        ClosedConnection closed;
        std::unique_ptr<ConnectionAccount> account;
        std::unique_ptr<UnprocessedInput> discarded;
        std::unique_ptr<LingeringClose> close;
    };

    void close(evutil_socket_t fd);

    EventLoop &m_loop;
    std::unordered_map<evutil_socket_t, Connection> m_connections;
};

} // namespace Tarragon
