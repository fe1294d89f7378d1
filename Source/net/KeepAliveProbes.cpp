#include "net/KeepAliveProbes.h"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

namespace Tarragon {

namespace {

/// TCP keep-alive probes, which detect an unresponsive peer while nothing is being sent.
constexpr int KeepAliveIdleSeconds = 2;
constexpr int KeepAliveIntervalSeconds = 1;
constexpr int KeepAliveProbes = 2;
/// Time in milliseconds after which the kernel closes a connection with unacknowledged data.
/// Several times the retransmission timeout of the slowest path between regions.
constexpr unsigned int TcpUserTimeoutMs = 2'500;

} // namespace

void enableKeepAliveProbes(evutil_socket_t fd)
{
    const int on = 1;
    setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    setsockopt(fd, SOL_SOCKET, SO_KEEPALIVE, &on, sizeof on);
    setsockopt(fd, IPPROTO_TCP, TCP_KEEPIDLE, &KeepAliveIdleSeconds, sizeof KeepAliveIdleSeconds);
    setsockopt(fd, IPPROTO_TCP, TCP_KEEPINTVL, &KeepAliveIntervalSeconds,
               sizeof KeepAliveIntervalSeconds);
    setsockopt(fd, IPPROTO_TCP, TCP_KEEPCNT, &KeepAliveProbes, sizeof KeepAliveProbes);
    setsockopt(fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &TcpUserTimeoutMs, sizeof TcpUserTimeoutMs);
}

} // namespace Tarragon
