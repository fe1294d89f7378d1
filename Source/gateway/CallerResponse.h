#pragma once

#include "gateway/TargetAttempt.h"
#include "net/HttpExchange.h"
#include "net/TimerLoop.h"

#include <sigc++/sigc++.h>

#include <memory>
#include <string_view>
#include <vector>

namespace Tarragon {

/// Why an attempt was cancelled while its call to the target was still open.
enum class CancelCause {
    /// The caller's time was over, or another attempt replaced it.
    GivenUp,
    /// The response to the caller began with another response.
    ResponseBegun,
    /// The connection to the caller has ended.
    RequestEnded,
};

std::string_view toString(CancelCause cause);

/// Writes a complete response to a caller, as HttpExchange does it.
template<typename T>
concept ResponseExchange = requires(T &exchange, int status, const HttpHeaders &headers,
                                    std::string_view body)
{
    exchange.reply(status, headers, body);
};

/// An attempt to obtain a response, as TargetAttempt.
template<typename T, typename Exchange>
concept ResponseAttempt = requires(T &attempt, const std::shared_ptr<Exchange> &exchange,
                                   const sigc::slot<void()> &ended)
{
    attempt.deliver(exchange, ended);
    attempt.cancel();
    {
        attempt.isOpen()
        } -> std::same_as<bool>;
};

/// Owns the right to respond to the caller of one request, and all attempts to obtain a response.
///
/// The right is given away once: to a local reply, or to the attempt whose response is delivered.
/// At that moment all other attempts are cancelled, which resets their connections, and no further
/// attempt can be added. So the bytes that a caller gets come from one source.
template<TimerLoop Loop, ResponseExchange Exchange, ResponseAttempt<Exchange> Attempt>
class BasicCallerResponse
{
public:
    /// Called once, before the first byte of the response is written.
    using BegunSlot = sigc::slot<void()>;
    /// Called for each attempt whose call is still open, before it is cancelled.
    using CancelledSlot = sigc::slot<void(const Attempt &, CancelCause)>;
    /// Called when nothing more of a delivered response follows.
    using EndedSlot = sigc::slot<void()>;

    BasicCallerResponse(Loop &loop, std::shared_ptr<Exchange> exchange, BegunSlot begun,
                        CancelledSlot cancelled);
    BasicCallerResponse(const BasicCallerResponse &) = delete;
    BasicCallerResponse &operator=(const BasicCallerResponse &) = delete;

    /// Whether no response has begun and the caller is still there.
    bool isOpen() const { return m_exchange != nullptr; }
    /// Makes the attempt the current one, and cancels the one before, if any. Throws Error unless
    /// isOpen().
    Attempt &add(std::unique_ptr<Attempt> attempt);
    /// Returns the attempt in progress or, after the response has begun, the one that provided it;
    /// null if there is none.
    Attempt *current() const { return m_current.get(); }
    /// Cancels the current attempt.
    void giveUpCurrent();
    /// Keeps the current attempt, which has a response, in case that no later one succeeds.
    /// Replaces the one that was kept before.
    void keepCurrentAsFallback();
    bool hasFallback() const { return m_fallback != nullptr; }
    /// Makes the attempt that was kept the current one again, and cancels the one in progress.
    void restoreFallback();

    /// Responds without a target. Does nothing and returns false unless isOpen().
    bool reply(int status, const HttpHeaders &headers, std::string_view body);
    /// Responds with the response of the current attempt, which must exist. Does nothing unless
    /// isOpen().
    void deliverCurrent(const EndedSlot &ended);
    /// Cancels all attempts, also the one that is being delivered.
    void close();
    /// Destroys all attempts. Must not be called by one of them.
    void destroyAttempts();

private:
    /// Gives the right to respond away and cancels all attempts but the provider of the response,
    /// which is null for a local reply. Returns null unless isOpen().
    std::shared_ptr<Exchange> begin(const Attempt *provider);
    void cancel(Attempt &attempt, CancelCause cause);
    /// Cancels the attempt and destroys it later, because it may be on the call stack.
    void retire(std::unique_ptr<Attempt> attempt, CancelCause cause);

    Loop &m_loop;
    /// Null once the response has begun or the caller has gone.
    std::shared_ptr<Exchange> m_exchange;
    BegunSlot m_begun;
    CancelledSlot m_cancelled;
    std::unique_ptr<Attempt> m_current;
    std::unique_ptr<Attempt> m_fallback;
    /// Cancelled attempts that are about to be destroyed.
    std::vector<std::unique_ptr<Attempt>> m_retired;
    TimerOf<Loop> m_destroyTimer;
};

using CallerResponse = BasicCallerResponse<EventLoop, HttpExchange, TargetAttempt>;

} // namespace Tarragon
