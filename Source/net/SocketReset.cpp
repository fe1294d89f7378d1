#include "net/SocketReset.h"

#include <sys/socket.h>

namespace Tarragon {

void resetConnection(evutil_socket_t fd)
{
    // Connecting a socket to AF_UNSPEC dissolves its association, for which TCP sends a reset.
    sockaddr unspecified{};
    unspecified.sa_family = AF_UNSPEC;
    (void)connect(fd, &unspecified, sizeof unspecified);
}

} // namespace Tarragon
