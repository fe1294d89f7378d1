#include "net/RpcConnector.h"

#include "base/Error.h"
#include "net/Guard.h"
#include "net/SocketAddress.h"
#include "net/SocketQueues.h"

#include <event2/event.h>

#include <cerrno>
#include <optional>
#include <utility>

namespace Tarragon {

struct RpcConnector::Callbacks
{
    static void writable(evutil_socket_t, short, void *arg)
    {
        RpcConnector *self = static_cast<RpcConnector *>(arg);
        guarded("RPC connect", [self] { self->onWritable(); });
    }
};

RpcConnector::RpcConnector(EventLoop &loop, const std::string &address, std::uint16_t port,
                           const RpcConnectorOptions &options, std::uint64_t seed, Handler handler)
    : m_loop(loop)
    , m_address(address)
    , m_port(port)
    , m_options(options)
    , m_backoff(options.minBackoff, options.maxBackoff, seed)
    , m_handler(std::move(handler))
{
    if (!parseSocketAddress(address, port))
        throw Error("RPC address to connect to is \"" + address + "\", expected an IP address");
    m_retry = m_loop.schedule(microseconds(0), [this] { connect(); });
}

RpcConnector::~RpcConnector()
{
    closeAttempt();
}

void RpcConnector::connectionLost()
{
    retry();
}

void RpcConnector::connect()
{
    const std::optional<SocketAddress> to = parseSocketAddress(m_address, m_port);
    m_socket = ::socket(to->storage.ss_family, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    if (m_socket < 0
        || (::connect(m_socket, to->data(), to->length) != 0 && errno != EINPROGRESS)) {
        retry();
        return;
    }
    m_event = event_new(m_loop.base(), m_socket, EV_WRITE, &Callbacks::writable, this);
    if (m_event == nullptr || event_add(m_event, nullptr) != 0) {
        retry();
        return;
    }
    m_timeout = m_loop.schedule(m_options.connectTimeout, [this] { onTimeout(); });
}

void RpcConnector::onWritable()
{
    int code = 0;
    socklen_t length = sizeof(code);
    ::getsockopt(m_socket, SOL_SOCKET, SO_ERROR, &code, &length);
    if (code != 0) {
        retry();
        return;
    }
    const evutil_socket_t socket = std::exchange(m_socket, -1);
    closeAttempt();
    kj::Own<RpcStream> stream = kj::heap<RpcStream>(m_loop.base(), socket);
    if (!guarded("RPC connection handler", [this, &stream] { m_handler(stream); }))
        retry();
}

void RpcConnector::onTimeout()
{
    // The loop may have been held up, so that the connection was made in time.
    if (isWritable(m_socket)) {
        onWritable();
    } else {
        retry();
    }
}

void RpcConnector::retry()
{
    closeAttempt();
    m_retry = m_loop.schedule(m_backoff.next(), [this] { connect(); });
}

void RpcConnector::closeAttempt()
{
    m_timeout.reset();
    if (m_event != nullptr)
        event_free(m_event);
    m_event = nullptr;
    if (m_socket >= 0)
        evutil_closesocket(m_socket);
    m_socket = -1;
}

} // namespace Tarragon
