#include "net/SocketAddress.h"

#include <arpa/inet.h>
#include <netinet/in.h>

namespace Tarragon {

std::uint16_t SocketAddress::port() const
{
    return ntohs(storage.ss_family == AF_INET6
                         ? reinterpret_cast<const sockaddr_in6 *>(&storage)->sin6_port
                         : reinterpret_cast<const sockaddr_in *>(&storage)->sin_port);
}

std::optional<SocketAddress> parseSocketAddress(const std::string &address, std::uint16_t port)
{
    SocketAddress result;
    sockaddr_in *v4 = reinterpret_cast<sockaddr_in *>(&result.storage);
    if (inet_pton(AF_INET, address.c_str(), &v4->sin_addr) == 1) {
        v4->sin_family = AF_INET;
        v4->sin_port = htons(port);
        result.length = sizeof(sockaddr_in);
        return result;
    }
    sockaddr_in6 *v6 = reinterpret_cast<sockaddr_in6 *>(&result.storage);
    if (inet_pton(AF_INET6, address.c_str(), &v6->sin6_addr) == 1) {
        v6->sin6_family = AF_INET6;
        v6->sin6_port = htons(port);
        result.length = sizeof(sockaddr_in6);
        return result;
    }
    return std::nullopt;
}

} // namespace Tarragon
