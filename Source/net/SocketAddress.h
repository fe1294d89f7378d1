#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include <sys/socket.h>

namespace Tarragon {

/// An IP address with a port, as the socket calls take it.
struct SocketAddress
{
    sockaddr_storage storage{};
    socklen_t length = 0;

    const sockaddr *data() const { return reinterpret_cast<const sockaddr *>(&storage); }
    std::uint16_t port() const;
};

/// Parses an IPv4 or IPv6 address; nothing if the text is neither. Names are not resolved.
std::optional<SocketAddress> parseSocketAddress(const std::string &address, std::uint16_t port);

} // namespace Tarragon
