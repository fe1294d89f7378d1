#pragma once

#include "net/EventLoop.h"
#include "net/LingerLimits.h"
#include "net/LingeringSocket.h"
#include "net/TimerLoop.h"

#include <concepts>
#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace Tarragon {

/// What is done with a socket while its connection ends, as LingeringSocket does it.
template<typename T>
concept ClosingSocket = requires(T &socket, std::string_view data, std::size_t size,
                                 const sigc::slot<void()> &callback)
{
    {
        socket.write(data)
        } -> std::same_as<std::optional<std::size_t>>;
    {
        socket.discard(size)
        } -> std::same_as<DiscardedInput>;
    {
        socket.unacknowledgedBytes()
        } -> std::same_as<std::optional<std::size_t>>;
    {
        socket.isDisconnected()
        } -> std::same_as<bool>;
    socket.shutdownSending();
    socket.watch(true, true, callback);
};

/// What the peer sees behind the last byte.
enum class StreamEnd {
    /// The end of the stream.
    Shutdown,
    /// A reset, which makes a truncated response visible whatever its framing.
    Reset,
};

/// Why a lingering close has ended.
enum class LingerResult {
    /// The peer has closed the connection, or it is broken.
    PeerClosed,
    /// Input has arrived that must not be read.
    InputRefused,
    /// The peer has acknowledged all bytes, and the time for it to close the connection has passed.
    Acknowledged,
    /// The peer has not acknowledged any byte for the stall time.
    Stalled,
    /// The total time has passed.
    Overdue,
};

/// Keeps a connection until its peer has what was written to it, within LingerLimits. Closing a
/// socket sends a reset if the peer has sent, or goes on to send, bytes that are not read, and a
/// reset discards what the peer has not acknowledged. Input is therefore read and discarded. Calls
/// a slot in the end, which closes the socket and may destroy the object.
///
/// A peer that has ended its own stream cannot draw a reset; the connection is kept for it all the
/// same, because the end of the process may discard what the system holds.
template<TimerLoop Loop, ClosingSocket Socket>
class BasicLingeringClose
{
public:
    using EndSlot = sigc::slot<void(LingerResult)>;

    /// Writes the pending bytes first. The slot is never called by the constructor.
    BasicLingeringClose(Loop &loop, Socket &&socket, std::string pending, StreamEnd streamEnd,
                        const LingerLimits &limits, EndSlot ended);
    BasicLingeringClose(const BasicLingeringClose &) = delete;
    BasicLingeringClose &operator=(const BasicLingeringClose &) = delete;

    /// Emitted when the peer has acknowledged more bytes.
    sigc::signal<void()> &progressed() { return m_progressed; }

private:
    /// Maximum input to discard in one callback, so that a fast sender does not delay others.
    static constexpr std::size_t MaxDiscardAtOnce = 65'536;
    /// Period of the checks for acknowledgements, of which the system does not notify. A reset is
    /// sent as soon as one of them finds that all bytes were acknowledged.
    static constexpr milliseconds ShutdownCheckPeriod{ 100 };
    static constexpr milliseconds ResetCheckPeriod{ 10 };

    void onReady();
    void writePending();
    void discardInput();
    /// Ends the close if nothing remains to be done or a limit is exceeded; waits on otherwise.
    void check();
    std::optional<LingerResult> result(MonotonicTime now) const;
    void watch();
    void end(LingerResult result);

    Loop &m_loop;
    Socket m_socket;
    std::string m_pending;
    StreamEnd m_streamEnd;
    LingerLimits m_limits;
    EndSlot m_ended;
    sigc::signal<void()> m_progressed;
    MonotonicTime m_startedAt;
    MonotonicTime m_lastProgress;
    /// Bytes that are pending or unacknowledged.
    std::size_t m_outstanding = 0;
    std::size_t m_discarded = 0;
    bool m_isShutDown = false;
    InputState m_inputState = InputState::Open;
    TimerOf<Loop> m_timer;
};

using LingeringClose = BasicLingeringClose<EventLoop, LingeringSocket>;

} // namespace Tarragon
