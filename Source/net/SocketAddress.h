#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include <sys/socket.h>

namespace Tarragon {

/// An IP address with a port, in the form that the socket system calls expect.
struct SocketAddress
{
    sockaddr_storage storage{};
    socklen_t length = 0;

    const sockaddr *data() const { return reinterpret_cast<const sockaddr *>(&storage); }
    std::uint16_t port() const;
};

/// Parses an IPv4 or IPv6 address; returns nothing if the text is neither. Host names are not
/// resolved.
std::optional<SocketAddress> parseSocketAddress(const std::string &address, std::uint16_t port);

} // namespace Tarragon
