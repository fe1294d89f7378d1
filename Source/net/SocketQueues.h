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

/// Whether a read of a TCP socket would return at once, with data, the end of the stream or an
/// error. Unlike a read, this does not consume the error.
bool isReadable(evutil_socket_t fd);

/// Whether the system accepts more bytes for a TCP socket at present.
bool isWritable(evutil_socket_t fd);

/// Whether a TCP connection has ended in both directions, for example by a reset.
bool isDisconnected(evutil_socket_t fd);

/// Whether nothing that was written to a TCP socket can be lost by closing it: the connection is
/// broken, or the peer has ended its stream and has acknowledged all bytes.
bool hasPeerFinished(evutil_socket_t fd);

} // namespace Tarragon
