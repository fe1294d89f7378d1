#pragma once

#include "Support/LoopbackAddress.h"
#include "net/SocketQueues.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <cerrno>
#include <cstdint>
#include <string>
#include <string_view>

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

namespace Tarragon {

/// Caller with a blocking socket. Sent bytes are in the server's receive buffer as soon as send()
/// returns, so that a test controls between which two iterations of the server's event loop they
/// arrive.
class PromptCaller
{
public:
    /// Connects to a port of the loopback address. The receive buffer is in bytes; 0 keeps the
    /// default of the system.
    explicit PromptCaller(std::uint16_t port, int receiveBuffer = 0)
        : m_fd(socket(AF_INET, SOCK_STREAM, 0))
    {
        if (receiveBuffer > 0) {
            setsockopt(m_fd, SOL_SOCKET, SO_RCVBUF, &receiveBuffer, sizeof receiveBuffer);
        }
        const SocketAddress address = loopbackAddress(port);
        // A segment would otherwise wait for the acknowledgement of the previous one.
        const int on = 1;
        setsockopt(m_fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
        EXPECT_EQ(connect(m_fd, address.data(), address.length), 0);
    }
    ~PromptCaller() { close(m_fd); }
    PromptCaller(const PromptCaller &) = delete;
    PromptCaller &operator=(const PromptCaller &) = delete;

    void send(std::string_view data)
    {
        EXPECT_EQ(::send(m_fd, data.data(), data.size(), MSG_NOSIGNAL), ssize_t(data.size()));
    }
    /// Sends as much as fits. For connections that the server may have reset.
    void sendIfPossible(std::string_view data)
    {
        (void)::send(m_fd, data.data(), data.size(), MSG_NOSIGNAL | MSG_DONTWAIT);
    }
    /// Shuts down the sending direction.
    void endStream() { shutdown(m_fd, SHUT_WR); }
    /// Appends bytes that have arrived to received(), at most the given number. Returns false once
    /// the server has closed or reset the connection.
    bool receive(std::size_t limit = MaxReceivedBytes)
    {
        char buf[MaxReceivedBytes];
        const ssize_t n = recv(m_fd, buf, std::min(limit, sizeof buf), MSG_DONTWAIT);
        if (n > 0) {
            m_received.append(buf, std::size_t(n));
        }
        m_isReset = m_isReset || (n < 0 && errno == ECONNRESET);
        return n != 0 && !m_isReset;
    }
    const std::string &received() const { return m_received; }
    /// Whether the server has reset the connection, also if it had ended its stream before.
    bool isDisconnected() const { return Tarragon::isDisconnected(m_fd); }
    /// Whether receive() has found that the server reset the connection.
    bool isReset() const { return m_isReset; }

private:
    static constexpr std::size_t MaxReceivedBytes = 16'384;

    int m_fd;
    std::string m_received;
    bool m_isReset = false;
};

} // namespace Tarragon
