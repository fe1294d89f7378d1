#include "net/LingeringSocket.h"

#include "net/Guard.h"
#include "net/SocketQueues.h"

#include <event2/event.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <utility>

#include <sys/socket.h>

namespace Tarragon {

namespace {

bool isTemporary(int error)
{
    return error == EAGAIN || error == EWOULDBLOCK || error == EINTR;
}

} // namespace

LingeringSocket::LingeringSocket(event_base *base, evutil_socket_t fd, FurtherInput furtherInput,
                                 UnprocessedInput *discarded)
    : m_base(base)
    , m_fd(fd)
    , m_furtherInput(furtherInput)
    , m_discarded(discarded)
{}

LingeringSocket::LingeringSocket(LingeringSocket &&other) noexcept
    : m_base(other.m_base)
    , m_fd(other.m_fd)
    , m_furtherInput(other.m_furtherInput)
    , m_discarded(other.m_discarded)
{}

LingeringSocket::~LingeringSocket()
{
    watch(false, false, {});
}

std::optional<std::size_t> LingeringSocket::write(std::string_view data)
{
    const ssize_t n = send(m_fd, data.data(), data.size(), MSG_DONTWAIT | MSG_NOSIGNAL);
    if (n >= 0) {
        return std::size_t(n);
    }
    return isTemporary(errno) ? std::optional<std::size_t>(0) : std::nullopt;
}

DiscardedInput LingeringSocket::discard(std::size_t size)
{
    std::array<char, 16'384> buf;
    DiscardedInput result;
    if (m_furtherInput == FurtherInput::Refuse && unreadBytes(m_fd).value_or(0) > 0) {
        result.state = InputState::Refused;
        return result;
    }
    while (result.bytes < size) {
        const std::size_t limit = std::min(buf.size(), size - result.bytes);
        const ssize_t n = recv(m_fd, buf.data(), limit, MSG_DONTWAIT);
        if (n <= 0) {
            if (n == 0) {
                result.state = InputState::Ended;
            } else if (!isTemporary(errno)) {
                result.state = InputState::Broken;
            }
            break;
        }
        result.bytes += std::size_t(n);
        if (m_discarded != nullptr) {
            m_discarded->add(std::string_view(buf.data(), std::size_t(n)));
        }
    }
    return result;
}

std::optional<std::size_t> LingeringSocket::unacknowledgedBytes() const
{
    return Tarragon::unacknowledgedBytes(m_fd);
}

bool LingeringSocket::isDisconnected() const
{
    return Tarragon::isDisconnected(m_fd);
}

void LingeringSocket::shutdownSending()
{
    shutdown(m_fd, SHUT_WR);
}

void LingeringSocket::watch(bool reads, bool writes, const sigc::slot<void()> &callback)
{
    const short wanted = short((reads ? EV_READ : 0) | (writes ? EV_WRITE : 0));
    m_callback = callback;
    if (wanted == m_watched) {
        return;
    }
    if (m_event != nullptr) {
        event_free(std::exchange(m_event, nullptr));
    }
    m_watched = wanted;
    if (wanted != 0) {
        m_event = event_new(m_base, m_fd, short(wanted | EV_PERSIST), onReady, this);
        event_add(m_event, nullptr);
    }
}

void LingeringSocket::onReady(evutil_socket_t, short, void *arg)
{
    const sigc::slot<void()> callback = static_cast<LingeringSocket *>(arg)->m_callback;
    guarded("lingering close", [&callback] { callback(); });
}

} // namespace Tarragon
