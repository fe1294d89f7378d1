#pragma once

#include "Support/LoopbackAddress.h"
#include "net/EventLoop.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <gtest/gtest.h>
#include <sigc++/sigc++.h>

#include <memory>
#include <string>
#include <string_view>

#include <sys/socket.h>

namespace Tarragon {

/// TCP connection of a test on the test's event loop. Sends bytes unchanged and records all
/// received bytes.
class RawSocket
{
public:
    /// Takes ownership of a connected socket.
    RawSocket(const EventLoop &loop, evutil_socket_t fd)
        : m_bufferEvent(bufferevent_socket_new(loop.base(), fd, BEV_OPT_CLOSE_ON_FREE))
    {
        start();
    }

    /// Connects to a port of the loopback address. The receive buffer is in bytes; 0
    /// keeps the default of the system.
    RawSocket(const EventLoop &loop, std::uint16_t port, int receiveBuffer = 0)
    {
        const int fd = socket(AF_INET, SOCK_STREAM, 0);
        if (receiveBuffer > 0) {
            setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &receiveBuffer, sizeof receiveBuffer);
        }
        const SocketAddress address = loopbackAddress(port);
        // On loopback, a blocking connect() returns at once unless the backlog is full.
        EXPECT_EQ(connect(fd, address.data(), address.length), 0);
        evutil_make_socket_nonblocking(fd);
        m_bufferEvent = bufferevent_socket_new(loop.base(), fd, BEV_OPT_CLOSE_ON_FREE);
        start();
    }

    ~RawSocket()
    {
        if (m_bufferEvent != nullptr) {
            bufferevent_free(m_bufferEvent);
        }
    }
    RawSocket(const RawSocket &) = delete;
    RawSocket &operator=(const RawSocket &) = delete;

    void send(std::string_view data) { bufferevent_write(m_bufferEvent, data.data(), data.size()); }
    /// Hands the data to the kernel before it returns, so that the data has arrived at the peer
    /// when the loop goes on. Must not be called while other data is unsent.
    void sendAtOnce(std::string_view data)
    {
        EXPECT_EQ(::send(bufferevent_getfd(m_bufferEvent), data.data(), data.size(), MSG_NOSIGNAL),
                  static_cast<ssize_t>(data.size()));
    }
    /// Closes the connection when all data has been handed to the kernel.
    void closeAfterSending()
    {
        m_closeAfterSending = true;
        if (unsentBytes() == 0) {
            close();
        }
    }
    /// Shuts down the sending direction when all data has been handed to the kernel.
    void shutdownAfterSending() { m_shutdownAfterSending = true; }
    /// Closes the connection at once; data that was not handed to the kernel is lost.
    void close()
    {
        // libevent closes the socket in a later iteration.
        shutdown(bufferevent_getfd(m_bufferEvent), SHUT_RDWR);
        release();
    }
    /// Closes the descriptor without shutting the connection down before, as most programs do. The
    /// system sends a reset in place of the end of the stream if it has unread input.
    void closeDescriptor() { release(); }
    /// Closes the connection with a TCP reset.
    void reset()
    {
        const linger now{ 1, 0 };
        setsockopt(bufferevent_getfd(m_bufferEvent), SOL_SOCKET, SO_LINGER, &now, sizeof now);
        release();
    }
    evutil_socket_t descriptor() const { return bufferevent_getfd(m_bufferEvent); }
    void stopReading() { bufferevent_disable(m_bufferEvent, EV_READ); }
    void startReading() { bufferevent_enable(m_bufferEvent, EV_READ); }
    std::size_t unsentBytes() const
    {
        return evbuffer_get_length(bufferevent_get_output(m_bufferEvent));
    }

    const std::string &received() const { return m_received; }
    bool isPeerClosed() const { return m_peerClosed; }
    bool isPeerReset() const { return m_peerReset; }
    /// Emitted when bytes were received.
    sigc::signal<void()> &dataReceived() { return m_dataReceived; }
    /// Emitted when the peer has closed or reset the connection.
    sigc::signal<void()> &peerClosed() { return m_peerClosedSignal; }
    /// Emitted when all data has been handed to the kernel.
    sigc::signal<void()> &allSent() { return m_allSent; }

private:
    void release()
    {
        bufferevent_free(m_bufferEvent);
        m_bufferEvent = nullptr;
    }

    void start()
    {
        bufferevent_setcb(m_bufferEvent, onRead, onWrite, onEvent, this);
        bufferevent_enable(m_bufferEvent, EV_READ | EV_WRITE);
    }

    static void onRead(bufferevent *bev, void *arg)
    {
        RawSocket *self = static_cast<RawSocket *>(arg);
        evbuffer *input = bufferevent_get_input(bev);
        std::string data(evbuffer_get_length(input), '\0');
        evbuffer_remove(input, data.data(), data.size());
        self->m_received += data;
        self->m_dataReceived.emit();
    }
    static void onWrite(bufferevent *, void *arg)
    {
        RawSocket *self = static_cast<RawSocket *>(arg);
        if (self->m_closeAfterSending) {
            self->close();
        } else if (self->m_shutdownAfterSending) {
            shutdown(bufferevent_getfd(self->m_bufferEvent), SHUT_WR);
        } else {
            self->m_allSent.emit();
        }
    }
    static void onEvent(bufferevent *, short what, void *arg)
    {
        RawSocket *self = static_cast<RawSocket *>(arg);
        self->m_peerClosed = true;
        self->m_peerReset = (what & BEV_EVENT_ERROR) != 0;
        self->m_peerClosedSignal.emit();
    }

    bufferevent *m_bufferEvent = nullptr;
    std::string m_received;
    bool m_peerClosed = false;
    bool m_peerReset = false;
    bool m_closeAfterSending = false;
    bool m_shutdownAfterSending = false;
    sigc::signal<void()> m_dataReceived;
    sigc::signal<void()> m_peerClosedSignal;
    sigc::signal<void()> m_allSent;
};

} // namespace Tarragon
