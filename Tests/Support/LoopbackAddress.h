#pragma once

#include "net/SocketAddress.h"

#include <cstdint>

namespace Tarragon {

/// A port of the loopback address, as the socket calls take it.
inline SocketAddress loopbackAddress(std::uint16_t port)
{
    return parseSocketAddress("127.0.0.1", port).value();
}

} // namespace Tarragon
