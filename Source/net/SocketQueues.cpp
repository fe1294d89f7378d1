#include "net/SocketQueues.h"

#include <linux/sockios.h>
#include <poll.h>
#include <sys/ioctl.h>
#include <sys/socket.h>

namespace Tarragon {

namespace {

std::optional<std::size_t> queueLength(evutil_socket_t fd, unsigned long request)
{
    int n = 0;
    if (ioctl(fd, request, &n) != 0 || n < 0) {
        return std::nullopt;
    }
    return std::size_t(n);
}

} // namespace

std::optional<std::size_t> unacknowledgedBytes(evutil_socket_t fd)
{
    return queueLength(fd, SIOCOUTQ);
}

std::optional<std::size_t> unreadBytes(evutil_socket_t fd)
{
    return queueLength(fd, SIOCINQ);
}

bool isReadable(evutil_socket_t fd)
{
    pollfd waiting{ fd, POLLIN, 0 };
    return poll(&waiting, 1, 0) > 0;
}

bool isWritable(evutil_socket_t fd)
{
    pollfd waiting{ fd, POLLOUT, 0 };
    return poll(&waiting, 1, 0) > 0 && (waiting.revents & POLLOUT) != 0;
}

bool isDisconnected(evutil_socket_t fd)
{
    sockaddr_storage address{};
    socklen_t length = sizeof address;
    return getpeername(fd, reinterpret_cast<sockaddr *>(&address), &length) != 0;
}

bool hasPeerFinished(evutil_socket_t fd)
{
    if (isDisconnected(fd)) {
        return true;
    }
    char ch = 0;
    return unacknowledgedBytes(fd).value_or(0) == 0
           && recv(fd, &ch, 1, MSG_PEEK | MSG_DONTWAIT) == 0;
}

} // namespace Tarragon
