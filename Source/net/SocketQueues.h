#pragma once

#include <event2/util.h>

#include <cstddef>
#include <optional>

namespace Tarragon {

/// Returns the number of bytes that were written to a TCP socket and that the peer's system has not
/// acknowledged. After the sending direction was shut down, its end counts as one byte. Returns
/// nothing if the system does not tell.
std::optional<std::size_t> unacknowledgedBytes(evutil_socket_t fd);

/// Returns the number of bytes that have arrived at a TCP socket and have not been read. Returns
/// nothing if the system does not tell.
std::optional<std::size_t> unreadBytes(evutil_socket_t fd);

/// Whether the peer has closed or reset the connection and all of its bytes have been read.
bool hasPeerClosed(evutil_socket_t fd);

} // namespace Tarragon
