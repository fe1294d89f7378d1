#pragma once

#include <event2/util.h>

namespace Tarragon {

/// Ends a TCP connection with a reset in both directions: at once where the system can dissolve a
/// socket's association, as Linux does, and elsewhere when the descriptor is closed. What was
/// written and has not been sent is discarded, and the peer cannot take the end for that of a
/// complete message. The descriptor stays open.
void resetConnection(evutil_socket_t fd);

} // namespace Tarragon
