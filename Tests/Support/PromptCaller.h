#pragma once

#include "Support/LoopbackAddress.h"

#include <gtest/gtest.h>

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
    explicit PromptCaller(std::uint16_t port)
        : m_fd(socket(AF_INET, SOCK_STREAM, 0))
    {
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
    /// Appends the bytes that have arrived to received(). Returns false once the server has closed
    /// or reset the connection.
    bool receive()
    {
        char buf[16'384];
        const ssize_t n = recv(m_fd, buf, sizeof buf, MSG_DONTWAIT);
        if (n > 0) {
            m_received.append(buf, std::size_t(n));
        }
        m_isReset = m_isReset || (n < 0 && errno == ECONNRESET);
        return n != 0 && !m_isReset;
    }
    const std::string &received() const { return m_received; }
    /// Whether receive() has found that the server reset the connection.
    bool isReset() const { return m_isReset; }

private:
    int m_fd;
    std::string m_received;
    bool m_isReset = false;
};

} // namespace Tarragon
