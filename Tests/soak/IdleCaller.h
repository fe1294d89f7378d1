#pragma once

#include "Support/RawSocket.h"
#include "net/EventLoop.h"

#include <cstddef>
#include <memory>
#include <string>

namespace Tarragon {

/// How the second request of an IdleCaller has ended.
enum class IdleOutcome {
    /// Not ended yet.
    Pending,
    /// The response is complete.
    Answered,
    /// The connection was closed before the request was sent.
    FoundClosed,
    /// The request was sent whole, and its connection ended without a complete response.
    NotAnswered,
};

/// A caller that sends a request, keeps the connection, stays idle for a time, and sends a second
/// request on the connection.
class IdleCaller
{
public:
    /// Every response ends with this text.
    static constexpr std::string_view ResponseEnd = "done";

    IdleCaller(EventLoop &loop, std::uint16_t port, std::string name)
        : m_loop(loop)
        , m_name(std::move(name))
        , m_socket(loop, port)
    {
        m_socket.dataReceived().connect([this] { onData(); });
        m_socket.peerClosed().connect([this] { onClosed(); });
        sendRequest("1");
    }
    IdleCaller(const IdleCaller &) = delete;
    IdleCaller &operator=(const IdleCaller &) = delete;

    /// Whether the first response is complete.
    bool isIdle() const { return m_responses > 0; }
    /// Sends the second request when the connection has been idle for the given time.
    void sendAfter(microseconds idleTime)
    {
        m_timer = m_loop.schedule(m_idleSince + idleTime - m_loop.now(), [this] {
            if (m_socket.isPeerClosed()) {
                m_outcome = IdleOutcome::FoundClosed;
                return;
            }
            m_hasSent = true;
            sendRequest("2");
        });
    }
    IdleOutcome outcome() const { return m_outcome; }

private:
    void sendRequest(const std::string &number)
    {
        m_socket.sendAtOnce("GET /x/1 HTTP/1.1\r\nHost: a.example\r\nAttempt-Id: " + m_name + "-"
                            + number + "\r\n\r\n");
    }
    void onData()
    {
        std::size_t found = m_socket.received().find(ResponseEnd, m_parsed);
        while (found != std::string::npos) {
            m_parsed = found + ResponseEnd.size();
            ++m_responses;
            found = m_socket.received().find(ResponseEnd, m_parsed);
        }
        if (m_responses == 1) {
            m_idleSince = m_loop.now();
        } else if (m_responses == 2) {
            m_outcome = IdleOutcome::Answered;
        }
    }
    void onClosed()
    {
        if (m_hasSent && m_outcome == IdleOutcome::Pending) {
            m_outcome = IdleOutcome::NotAnswered;
        }
    }

    EventLoop &m_loop;
    std::string m_name;
    RawSocket m_socket;
    std::size_t m_parsed = 0;
    int m_responses = 0;
    MonotonicTime m_idleSince{};
    bool m_hasSent = false;
    IdleOutcome m_outcome = IdleOutcome::Pending;
    Timer m_timer;
};

} // namespace Tarragon
