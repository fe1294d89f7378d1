#pragma once

#include <event2/util.h>

namespace Tarragon {

/// Ends a TCP connection with a reset, at once and in both directions. What was written and has not
/// been sent is discarded, and the peer cannot take the end for that of a complete message. The
/// descriptor stays open.
void resetConnection(evutil_socket_t fd);

} // namespace Tarragon
