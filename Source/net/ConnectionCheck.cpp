#include "net/ConnectionCheck.h"

#include "net/Guard.h"
#include "net/SocketAddress.h"
#include "net/SocketQueues.h"

#include <event2/event.h>

#include <cerrno>
#include <optional>
#include <utility>

#include <sys/socket.h>

namespace Tarragon {

struct ConnectionCheck::Callbacks
{
    static void writable(evutil_socket_t, short, void *arg)
    {
        ConnectionCheck *self = static_cast<ConnectionCheck *>(arg);
        guarded("connection check", [self] { self->onWritable(); });
    }
};

namespace {

ConnectionOutcome outcomeOf(int error)
{
    if (error == 0) {
        return ConnectionOutcome::Accepted;
    }
    return error == ECONNREFUSED ? ConnectionOutcome::Refused : ConnectionOutcome::Unknown;
}

} // namespace

ConnectionCheck::ConnectionCheck(EventLoop &loop, const std::string &address, std::uint16_t port,
                                 milliseconds timeout, Handler handler)
    : m_loop(loop)
    , m_handler(std::move(handler))
{
    connect(address, port, timeout);
}

ConnectionCheck::~ConnectionCheck()
{
    close();
}

void ConnectionCheck::connect(const std::string &address, std::uint16_t port, milliseconds timeout)
{
    ConnectionOutcome outcome = ConnectionOutcome::Unknown;
    if (const std::optional<SocketAddress> to = parseSocketAddress(address, port)) {
        m_socket = ::socket(to->storage.ss_family, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
        const int error =
                m_socket < 0 || ::connect(m_socket, to->data(), to->length) == 0 ? 0 : errno;
        if (m_socket >= 0 && (error == 0 || error == EINPROGRESS)) {
            m_event = event_new(m_loop.base(), m_socket, EV_WRITE, &Callbacks::writable, this);
        } else if (m_socket >= 0) {
            outcome = outcomeOf(error);
        }
    }
    if (m_event != nullptr && event_add(m_event, nullptr) == 0) {
        m_timer = m_loop.schedule(timeout, [this] { onTimeout(); });
        return;
    }
    m_timer = m_loop.schedule(microseconds(0), [this, outcome] { end(outcome); });
}

void ConnectionCheck::onWritable()
{
    int error = 0;
    socklen_t length = sizeof(error);
    ::getsockopt(m_socket, SOL_SOCKET, SO_ERROR, &error, &length);
    end(outcomeOf(error));
}

void ConnectionCheck::onTimeout()
{
    // The loop may have been held up, so that the outcome is known although it was not seen yet.
    if (isWritable(m_socket)) {
        onWritable();
    } else {
        end(ConnectionOutcome::Unknown);
    }
}

void ConnectionCheck::end(ConnectionOutcome outcome)
{
    close();
    const Handler handler = std::move(m_handler);
    handler(outcome);
}

void ConnectionCheck::close()
{
    m_timer.reset();
    if (m_event != nullptr) {
        event_free(m_event);
    }
    m_event = nullptr;
    if (m_socket >= 0) {
        evutil_closesocket(m_socket);
    }
    m_socket = -1;
}

} // namespace Tarragon
