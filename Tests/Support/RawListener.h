#pragma once

#include "Support/RawSocket.h"

#include <event2/listener.h>

#include <vector>

namespace Tarragon {

/// Listening socket of a test on a free port of the loopback address.
class RawListener
{
public:
    explicit RawListener(const EventLoop &loop, int backlog = 128)
        : m_loop(&loop)
    {
        SocketAddress address = loopbackAddress(0);
        m_listener =
                evconnlistener_new_bind(loop.base(), onAccept, this, LEV_OPT_CLOSE_ON_FREE, backlog,
                                        address.data(), static_cast<int>(address.length));
        getsockname(evconnlistener_get_fd(m_listener),
                    reinterpret_cast<sockaddr *>(&address.storage), &address.length);
        m_port = address.port();
    }
    ~RawListener() { evconnlistener_free(m_listener); }
    RawListener(const RawListener &) = delete;
    RawListener &operator=(const RawListener &) = delete;

    std::uint16_t port() const { return m_port; }
    /// Stops accepting; new connections stay in the backlog.
    void stopAccepting() { evconnlistener_disable(m_listener); }
    /// All connections accepted so far, in order.
    const std::vector<std::unique_ptr<RawSocket>> &sockets() const { return m_sockets; }
    /// Emitted with each accepted connection.
    sigc::signal<void(RawSocket &)> &accepted() { return m_accepted; }

private:
    static void onAccept(evconnlistener *, evutil_socket_t fd, sockaddr *, int, void *arg)
    {
        RawListener *self = static_cast<RawListener *>(arg);
        self->m_sockets.push_back(std::make_unique<RawSocket>(*self->m_loop, fd));
        RawSocket &socket = *self->m_sockets.back();
        self->m_accepted.emit(socket);
    }

    const EventLoop *m_loop;
    evconnlistener *m_listener = nullptr;
    std::uint16_t m_port = 0;
    std::vector<std::unique_ptr<RawSocket>> m_sockets;
    sigc::signal<void(RawSocket &)> m_accepted;
};

} // namespace Tarragon
