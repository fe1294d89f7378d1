#pragma once

#include <event2/util.h>

namespace Tarragon {

/// Makes the system probe the peer of a TCP socket while nothing is being sent, and send data
/// without delay. The system closes the connection if the peer does not acknowledge.
void enableKeepAliveProbes(evutil_socket_t fd);

} // namespace Tarragon
