#pragma once

#include "net/SocketAddress.h"

#include <cstdint>

namespace Tarragon {

/// Returns the socket address of a port on 127.0.0.1.
inline SocketAddress loopbackAddress(std::uint16_t port)
{
    return parseSocketAddress("127.0.0.1", port).value();
}

} // namespace Tarragon
