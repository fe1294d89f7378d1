#pragma once

// Definitions of the members of BasicCallerResponse, for the files that instantiate it.

#include "base/Error.h"
#include "gateway/CallerResponse.h"

#include <utility>

namespace Tarragon {

template<TimerLoop Loop, ResponseExchange Exchange, ResponseAttempt<Exchange> Attempt>
BasicCallerResponse<Loop, Exchange, Attempt>::BasicCallerResponse(
        Loop &loop, std::shared_ptr<Exchange> exchange, BegunSlot begun, CancelledSlot cancelled)
    : m_loop(loop)
    , m_exchange(std::move(exchange))
    , m_begun(std::move(begun))
    , m_cancelled(std::move(cancelled))
{}

template<TimerLoop Loop, ResponseExchange Exchange, ResponseAttempt<Exchange> Attempt>
Attempt &BasicCallerResponse<Loop, Exchange, Attempt>::add(std::unique_ptr<Attempt> attempt)
{
    if (!isOpen()) {
        throw Error("a further attempt was started after the response to the caller had begun");
    }
    retire(std::exchange(m_current, std::move(attempt)), CancelCause::GivenUp);
    return *m_current;
}

template<TimerLoop Loop, ResponseExchange Exchange, ResponseAttempt<Exchange> Attempt>
void BasicCallerResponse<Loop, Exchange, Attempt>::giveUpCurrent()
{
    retire(std::move(m_current), CancelCause::GivenUp);
}

template<TimerLoop Loop, ResponseExchange Exchange, ResponseAttempt<Exchange> Attempt>
void BasicCallerResponse<Loop, Exchange, Attempt>::keepCurrentAsFallback()
{
    retire(std::exchange(m_fallback, std::move(m_current)), CancelCause::GivenUp);
}

template<TimerLoop Loop, ResponseExchange Exchange, ResponseAttempt<Exchange> Attempt>
void BasicCallerResponse<Loop, Exchange, Attempt>::restoreFallback()
{
    retire(std::exchange(m_current, std::move(m_fallback)), CancelCause::GivenUp);
}

template<TimerLoop Loop, ResponseExchange Exchange, ResponseAttempt<Exchange> Attempt>
bool BasicCallerResponse<Loop, Exchange, Attempt>::reply(int status, const HttpHeaders &headers,
                                                         std::string_view body)
{
    const std::shared_ptr<Exchange> exchange = begin(nullptr);
    if (exchange == nullptr) {
        return false;
    }
    exchange->reply(status, headers, body);
    return true;
}

template<TimerLoop Loop, ResponseExchange Exchange, ResponseAttempt<Exchange> Attempt>
void BasicCallerResponse<Loop, Exchange, Attempt>::deliverCurrent(const EndedSlot &ended)
{
    if (const std::shared_ptr<Exchange> exchange = begin(m_current.get())) {
        m_current->deliver(exchange, ended);
    }
}

template<TimerLoop Loop, ResponseExchange Exchange, ResponseAttempt<Exchange> Attempt>
std::shared_ptr<Exchange>
BasicCallerResponse<Loop, Exchange, Attempt>::begin(const Attempt *provider)
{
    std::shared_ptr<Exchange> exchange = std::exchange(m_exchange, nullptr);
    if (exchange == nullptr) {
        return nullptr;
    }
    if (m_current != nullptr && m_current.get() != provider) {
        cancel(*m_current, CancelCause::ResponseBegun);
    }
    retire(std::move(m_fallback), CancelCause::ResponseBegun);
    m_begun();
    return exchange;
}

template<TimerLoop Loop, ResponseExchange Exchange, ResponseAttempt<Exchange> Attempt>
void BasicCallerResponse<Loop, Exchange, Attempt>::close()
{
    m_exchange = nullptr;
    if (m_current != nullptr) {
        cancel(*m_current, CancelCause::RequestEnded);
    }
    retire(std::move(m_fallback), CancelCause::RequestEnded);
}

template<TimerLoop Loop, ResponseExchange Exchange, ResponseAttempt<Exchange> Attempt>
void BasicCallerResponse<Loop, Exchange, Attempt>::destroyAttempts()
{
    m_destroyTimer.reset();
    m_current.reset();
    m_fallback.reset();
    m_retired.clear();
}

template<TimerLoop Loop, ResponseExchange Exchange, ResponseAttempt<Exchange> Attempt>
void BasicCallerResponse<Loop, Exchange, Attempt>::cancel(Attempt &attempt, CancelCause cause)
{
    if (attempt.isOpen()) {
        m_cancelled(attempt, cause);
    }
    attempt.cancel();
}

template<TimerLoop Loop, ResponseExchange Exchange, ResponseAttempt<Exchange> Attempt>
void BasicCallerResponse<Loop, Exchange, Attempt>::retire(std::unique_ptr<Attempt> attempt,
                                                          CancelCause cause)
{
    if (attempt == nullptr) {
        return;
    }
    cancel(*attempt, cause);
    m_retired.push_back(std::move(attempt));
    m_destroyTimer = m_loop.schedule(microseconds(0), [this] { m_retired.clear(); });
}

} // namespace Tarragon
