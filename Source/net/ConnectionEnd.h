#pragma once

#include "net/ConnectionAccount.h"
#include "net/ConnectionCloses.h"
#include "net/HttpServer.h"
#include "net/LingeringClose.h"

#include <sigc++/sigc++.h>

#include <memory>
#include <optional>
#include <string>
#include <string_view>

struct bufferevent;
struct evbuffer;

namespace Tarragon {

/// Ends one connection of an HttpServer so that its peer gets what was written before, as far as
/// the limits permit. Every way by which a connection ends goes through this class.
class ConnectionEnd
{
public:
    /// Makes evhttp close the connection.
    using CloseSlot = sigc::slot<void()>;

    ConnectionEnd(HttpServer::State &server, bufferevent *bev, ConnectionAccount &account,
                  CloseSlot close);
    ConnectionEnd(const ConnectionEnd &) = delete;
    ConnectionEnd &operator=(const ConnectionEnd &) = delete;

    /// Whether the connection is ending by sendAndClose() or resetWhenAcknowledged().
    bool hasBegun() const { return m_lingering != nullptr; }
    /// Sets why the connection is about to be closed.
    void setCause(CloseCause cause) { m_cause = cause; }
    /// Returns why the server ends the connection; nothing if it does not.
    const std::optional<CloseCause> &cause() const { return m_cause; }
    /// Moves input that no handler gets out of the buffer, for the log.
    void keepUnprocessed(evbuffer *input);
    /// Sends the text behind what was written, discards input, and calls the slot when the peer has
    /// all of it.
    void sendAndClose(std::string_view text);
    /// Writes nothing more, and resets the connection when the peer has acknowledged what was
    /// written. Returns false if nothing is unacknowledged; then nothing was done.
    bool resetWhenAcknowledged(CloseCause cause);
    /// Resets the connection and calls the slot.
    void reset(CloseCause cause);
    /// Takes the socket from evhttp, which is about to close the connection, unless the peer has
    /// finished or a wait has been made already. The server gets the socket and its account.
    void handOver(CloseCause cause, std::unique_ptr<ConnectionAccount> account);

private:
    /// Stops the bufferevent and returns what it has not written.
    std::string takeOutput();
    ClosedConnection closedConnection(CloseCause cause, const ConnectionAccount &account,
                                      MonotonicTime now) const;
    void linger(std::string pending, StreamEnd streamEnd, const CloseSlot &ended);

    HttpServer::State &m_server;
    bufferevent *m_bufferEvent;
    ConnectionAccount &m_account;
    CloseSlot m_close;
    std::unique_ptr<LingeringClose> m_lingering;
    bool m_isReset = false;
    std::optional<CloseCause> m_cause;
    UnprocessedInput m_unprocessed;
};

} // namespace Tarragon
