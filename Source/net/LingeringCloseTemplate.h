#pragma once

// Definitions of the members of BasicLingeringClose, for the files that instantiate it.

#include "net/LingeringClose.h"

#include <algorithm>
#include <utility>

namespace Tarragon {

template<TimerLoop Loop, ClosingSocket Socket>
BasicLingeringClose<Loop, Socket>::BasicLingeringClose(Loop &loop, Socket &&socket,
                                                       std::string pending, StreamEnd streamEnd,
                                                       const LingerLimits &limits, EndSlot ended)
    : m_loop(loop)
    , m_socket(std::move(socket))
    , m_pending(std::move(pending))
    , m_streamEnd(streamEnd)
    , m_limits(limits)
    , m_ended(std::move(ended))
    , m_startedAt(loop.now())
    , m_lastProgress(m_startedAt)
{
    writePending();
    m_outstanding = m_pending.size() + m_socket.unacknowledgedBytes().value_or(0);
    watch();
    m_timer = m_loop.schedule(microseconds(0), [this] { check(); });
}

template<TimerLoop Loop, ClosingSocket Socket>
void BasicLingeringClose<Loop, Socket>::onReady()
{
    writePending();
    discardInput();
    if (m_inputState == InputState::Open) {
        watch();
    } else {
        check();
    }
}

template<TimerLoop Loop, ClosingSocket Socket>
void BasicLingeringClose<Loop, Socket>::writePending()
{
    if (!m_pending.empty()) {
        const std::optional<std::size_t> written = m_socket.write(m_pending);
        if (!written.has_value()) {
            m_inputState = InputState::Broken;
            return;
        }
        m_pending.erase(0, *written);
    }
    if (m_pending.empty() && m_streamEnd == StreamEnd::Shutdown
        && !std::exchange(m_isShutDown, true)) {
        m_socket.shutdownSending();
    }
}

template<TimerLoop Loop, ClosingSocket Socket>
void BasicLingeringClose<Loop, Socket>::discardInput()
{
    const std::size_t room = m_limits.discardedBytes.value - m_discarded;
    if (m_inputState == InputState::Open && room > 0) {
        const DiscardedInput input = m_socket.discard(std::min(room, MaxDiscardAtOnce));
        m_discarded += input.bytes;
        m_inputState = input.state;
    }
}

template<TimerLoop Loop, ClosingSocket Socket>
void BasicLingeringClose<Loop, Socket>::check()
{
    const MonotonicTime now = m_loop.now();
    const std::size_t outstanding = m_pending.size() + m_socket.unacknowledgedBytes().value_or(0);
    const bool hasProgressed = outstanding < m_outstanding;
    m_outstanding = outstanding;
    if (hasProgressed) {
        m_lastProgress = now;
        m_progressed.emit();
    }
    // The timer may run before the event for input that has arrived.
    discardInput();
    if (m_socket.isDisconnected()) {
        m_inputState = InputState::Broken;
    }
    if (const std::optional<LingerResult> ended = result(now)) {
        end(*ended);
        return;
    }
    watch();
    m_timer = m_loop.schedule(m_streamEnd == StreamEnd::Reset ? ResetCheckPeriod
                                                              : ShutdownCheckPeriod,
                              [this] { check(); });
}

template<TimerLoop Loop, ClosingSocket Socket>
std::optional<LingerResult> BasicLingeringClose<Loop, Socket>::result(MonotonicTime now) const
{
    const bool isAcknowledged = m_outstanding == 0;
    if (m_inputState == InputState::Broken
        || (m_inputState == InputState::Ended && isAcknowledged)) {
        return LingerResult::PeerClosed;
    }
    if (m_inputState == InputState::Refused) {
        return LingerResult::InputRefused;
    }
    if (isAcknowledged
        && (m_streamEnd == StreamEnd::Reset || now - m_lastProgress >= m_limits.closeTime)) {
        return LingerResult::Acknowledged;
    }
    if (!isAcknowledged && now - m_lastProgress >= m_limits.stallTime) {
        return LingerResult::Stalled;
    }
    if (now - m_startedAt >= m_limits.totalTime) {
        return LingerResult::Overdue;
    }
    return std::nullopt;
}

template<TimerLoop Loop, ClosingSocket Socket>
void BasicLingeringClose<Loop, Socket>::watch()
{
    const bool reads =
            m_inputState == InputState::Open && m_discarded < m_limits.discardedBytes.value;
    m_socket.watch(reads, !m_pending.empty(), sigc::mem_fun(*this, &BasicLingeringClose::onReady));
}

template<TimerLoop Loop, ClosingSocket Socket>
void BasicLingeringClose<Loop, Socket>::end(LingerResult result)
{
    m_timer.reset();
    m_socket.watch(false, false, {});
    const EndSlot ended = std::move(m_ended);
    ended(result);
}

} // namespace Tarragon
