#include "net/RpcListener.h"

#include "base/Error.h"
#include "net/Guard.h"
#include "net/SocketAddress.h"

#include <event2/listener.h>

#include <cerrno>
#include <cstring>
#include <optional>
#include <utility>

namespace Tarragon {

namespace {

/// Maximum number of connections waiting to be accepted.
constexpr int ListenBacklog = 128;
/// Delay before accepting again after accept() failed, for example because no file descriptor was
/// free. Without it, accept() would fail again at once in a busy loop.
constexpr microseconds AcceptRetryDelay{ 100'000 };

} // namespace

struct RpcListener::Callbacks
{
    static void accepted(evconnlistener *, evutil_socket_t socket, sockaddr *, int, void *arg)
    {
        RpcListener *self = static_cast<RpcListener *>(arg);
        guarded("RPC accept", [self, socket] {
            kj::Own<RpcStream> stream = kj::heap<RpcStream>(self->m_loop.base(), socket);
            self->m_handler(stream);
        });
    }

    static void failed(evconnlistener *listener, void *arg)
    {
        RpcListener *self = static_cast<RpcListener *>(arg);
        evconnlistener_disable(listener);
        self->m_acceptRetry = self->m_loop.schedule(
                AcceptRetryDelay, [listener] { evconnlistener_enable(listener); });
    }
};

RpcListener::RpcListener(EventLoop &loop, const std::string &address, std::uint16_t port,
                         Handler handler)
    : m_loop(loop)
    , m_handler(std::move(handler))
{
    const std::optional<SocketAddress> at = parseSocketAddress(address, port);
    if (!at)
        throw Error("RPC listen address is \"" + address + "\", expected an IP address");
    m_listener = evconnlistener_new_bind(loop.base(), &Callbacks::accepted, this,
                                         LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE
                                                 | LEV_OPT_CLOSE_ON_EXEC,
                                         ListenBacklog, at->data(), static_cast<int>(at->length));
    if (m_listener == nullptr) {
        throw Error("RPC: cannot listen on " + address + ":" + std::to_string(port) + ": "
                    + std::strerror(errno));
    }
    evconnlistener_set_error_cb(m_listener, &Callbacks::failed);
    SocketAddress bound;
    bound.length = sizeof(bound.storage);
    ::getsockname(evconnlistener_get_fd(m_listener), reinterpret_cast<sockaddr *>(&bound.storage),
                  &bound.length);
    m_port = bound.port();
}

RpcListener::~RpcListener()
{
    evconnlistener_free(m_listener);
}

} // namespace Tarragon
