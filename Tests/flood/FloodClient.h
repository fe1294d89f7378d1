#pragma once

#include "Support/LoopbackAddress.h"
#include "net/EventLoop.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>

#include <algorithm>
#include <memory>
#include <string>

#include <sys/socket.h>

namespace Tarragon {

/// What every client of a flood sends.
struct FloodMessage
{
    std::string head;
    /// Sent after the head.
    std::string body;
    /// How often the body is sent.
    int repetitions = 1;
    /// Number of bytes that are handed to the socket at a time.
    std::size_t pieceBytes = 0;
};

/// A client that sends a message, discards responses, and leaves its connection open.
class FloodClient
{
public:
    FloodClient(const EventLoop &loop, std::uint16_t port,
                std::shared_ptr<const FloodMessage> message)
        : m_message(std::move(message))
        , m_bufferEvent(bufferevent_socket_new(loop.base(), -1, BEV_OPT_CLOSE_ON_FREE))
    {
        SocketAddress address = loopbackAddress(port);
        bufferevent_setcb(m_bufferEvent, onRead, onWrite, onEvent, this);
        bufferevent_enable(m_bufferEvent, EV_READ | EV_WRITE);
        bufferevent_write(m_bufferEvent, m_message->head.data(), m_message->head.size());
        bufferevent_socket_connect(m_bufferEvent, const_cast<sockaddr *>(address.data()),
                                   static_cast<int>(address.length));
    }
    ~FloodClient() { bufferevent_free(m_bufferEvent); }
    FloodClient(const FloodClient &) = delete;
    FloodClient &operator=(const FloodClient &) = delete;

    /// Whether all bytes were sent or the connection has been closed.
    bool isDone() const { return m_isDone; }

private:
    static void onRead(bufferevent *bev, void *)
    {
        evbuffer *input = bufferevent_get_input(bev);
        evbuffer_drain(input, evbuffer_get_length(input));
    }
    static void onWrite(bufferevent *, void *arg) { static_cast<FloodClient *>(arg)->sendNext(); }
    static void onEvent(bufferevent *, short what, void *arg)
    {
        FloodClient *self = static_cast<FloodClient *>(arg);
        self->m_isDone = self->m_isDone || (what & (BEV_EVENT_EOF | BEV_EVENT_ERROR)) != 0;
    }

    void sendNext()
    {
        if (m_position == m_message->body.size()) {
            m_position = 0;
            ++m_sent;
        }
        m_isDone = m_isDone || m_sent == m_message->repetitions;
        if (m_isDone) {
            return;
        }
        const std::size_t n = std::min(m_message->pieceBytes, m_message->body.size() - m_position);
        // The message is not copied, so that the clients need little memory themselves.
        evbuffer_add_reference(bufferevent_get_output(m_bufferEvent),
                               m_message->body.data() + m_position, n, nullptr, nullptr);
        m_position += n;
    }

    std::shared_ptr<const FloodMessage> m_message;
    bufferevent *m_bufferEvent;
    std::size_t m_position = 0;
    int m_sent = 0;
    bool m_isDone = false;
};

} // namespace Tarragon
