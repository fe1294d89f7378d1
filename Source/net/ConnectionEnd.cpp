#include "net/ConnectionEnd.h"

#include "net/HttpServerState.h"
#include "net/SocketQueues.h"
#include "net/SocketReset.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>

#include <algorithm>
#include <array>
#include <utility>

namespace Tarragon {

ConnectionEnd::ConnectionEnd(HttpServer::State &server, bufferevent *bev,
                             ConnectionAccount &account, CloseSlot close)
    : m_server(server)
    , m_bufferEvent(bev)
    , m_account(account)
    , m_close(std::move(close))
{}

void ConnectionEnd::keepUnprocessed(evbuffer *input)
{
    std::array<char, UnprocessedInput::MaxKeptBytes> start;
    const std::size_t size = evbuffer_get_length(input);
    const ev_ssize_t n = evbuffer_copyout(input, start.data(), start.size());
    m_unprocessed.add(std::string_view(start.data(), std::size_t(std::max<ev_ssize_t>(n, 0))));
    m_unprocessed.addSize(size - std::size_t(std::max<ev_ssize_t>(n, 0)));
    evbuffer_drain(input, size);
}

void ConnectionEnd::sendAndClose(std::string_view text)
{
    m_cause = CloseCause::Rejection;
    linger(takeOutput().append(text), StreamEnd::Shutdown, m_close);
}

bool ConnectionEnd::resetWhenAcknowledged(CloseCause cause)
{
    if (unacknowledgedBytes(bufferevent_getfd(m_bufferEvent)).value_or(0) == 0) {
        return false;
    }
    m_cause = cause;
    takeOutput();
    linger({}, StreamEnd::Reset, [this, cause] { reset(cause); });
    return true;
}

std::string ConnectionEnd::takeOutput()
{
    bufferevent_disable(m_bufferEvent, EV_READ | EV_WRITE);
    bufferevent_setcb(m_bufferEvent, nullptr, nullptr, nullptr, nullptr);
    evbuffer *output = bufferevent_get_output(m_bufferEvent);
    std::string result(evbuffer_get_length(output), '\0');
    // libevent permits changes of the start only while it writes.
    evbuffer_unfreeze(output, 1);
    evbuffer_remove(output, result.data(), result.size());
    return result;
}

void ConnectionEnd::linger(std::string pending, StreamEnd streamEnd, const CloseSlot &ended)
{
    m_lingering = std::make_unique<LingeringClose>(
            m_server.loop,
            LingeringSocket(m_server.loop.base(), bufferevent_getfd(m_bufferEvent),
                            FurtherInput::Discard,
                            streamEnd == StreamEnd::Reset ? &m_unprocessed : nullptr),
            std::move(pending), streamEnd, m_server.limits.linger,
            [ended](LingerResult) { ended(); });
    m_lingering->progressed().connect([this] { m_account.onProgress(m_server.loop.now()); });
}

void ConnectionEnd::reset(CloseCause cause)
{
    const evutil_socket_t fd = bufferevent_getfd(m_bufferEvent);
    const MonotonicTime now = m_server.loop.now();
    const ClosedConnection closed = closedConnection(cause, m_account, now);
    ConnectionCloses &closes = ConnectionCloses::ofProcess();
    m_cause = cause;
    m_unprocessed.addUnread(fd);
    closes.recordEnd(closed, now);
    closes.recordUnprocessed(closed, m_unprocessed, now);
    closes.recordSocket(fd, cause, now);
    m_isReset = true;
    // A regular close would look like the end of a body that is delimited by the end of the
    // connection.
    resetConnection(fd);
    // The call destroys this object.
    const CloseSlot close = m_close;
    close();
}

ClosedConnection ConnectionEnd::closedConnection(CloseCause cause, const ConnectionAccount &account,
                                                 MonotonicTime now) const
{
    return { cause, now - account.lastProgress(), m_server.limits.idleTimeout };
}

void ConnectionEnd::handOver(CloseCause cause, std::unique_ptr<ConnectionAccount> account)
{
    const evutil_socket_t fd = bufferevent_getfd(m_bufferEvent);
    const MonotonicTime now = m_server.loop.now();
    const ClosedConnection closed = closedConnection(cause, *account, now);
    const bool hasLingered = hasBegun();
    // libevent must remove its events before evhttp closes the descriptor.
    m_lingering.reset();
    if (m_isReset) {
        return;
    }
    ConnectionCloses &closes = ConnectionCloses::ofProcess();
    closes.recordEnd(closed, now);
    const bool isFinal = hasLingered || m_server.isEnding || hasPeerFinished(fd);
    if (isFinal) {
        if (cause != CloseCause::Rejection) {
            m_unprocessed.addUnread(fd);
            closes.recordUnprocessed(closed, m_unprocessed, now);
        }
        closes.recordSocket(fd, cause, now);
        return;
    }
    // evhttp still shuts down the sending direction; the bufferevent closes no descriptor then.
    bufferevent_setfd(m_bufferEvent, -1);
    m_server.lingering.add(fd, closed, std::move(account), m_server.limits.linger,
                           std::move(m_unprocessed));
}

} // namespace Tarragon
