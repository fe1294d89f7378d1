#include "net/SocketReset.h"

#include <sys/socket.h>

namespace Tarragon {

void resetConnection(evutil_socket_t fd)
{
    // Where dissolving the association has no effect, the option makes closing the descriptor send
    // the reset.
    const linger now{ 1, 0 };
    setsockopt(fd, SOL_SOCKET, SO_LINGER, &now, sizeof now);
    // Connecting a socket to AF_UNSPEC dissolves its association, for which TCP sends a reset.
    sockaddr unspecified{};
    unspecified.sa_family = AF_UNSPEC;
    (void)connect(fd, &unspecified, sizeof unspecified);
}

} // namespace Tarragon
