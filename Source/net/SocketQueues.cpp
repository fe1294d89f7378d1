#include "net/SocketQueues.h"

#include <cerrno>

#include <linux/sockios.h>
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

bool hasPeerClosed(evutil_socket_t fd)
{
    char ch = 0;
    const ssize_t n = recv(fd, &ch, 1, MSG_PEEK | MSG_DONTWAIT);
    return n == 0 || (n < 0 && errno != EAGAIN && errno != EWOULDBLOCK && errno != EINTR);
}

} // namespace Tarragon
