#include "net/RequestsAhead.h"

#include "net/ConnectionCloses.h"
#include "net/HttpExchangeState.h"

#include <algorithm>
#include <numeric>
#include <utility>

namespace Tarragon {

namespace {

/// Maximum number of requests of a connection that are in progress behind the one being answered.
/// It bounds the share of a target's slots that one connection can occupy.
constexpr std::size_t MaxRequestsAhead = 8;

/// Size in bytes of the held responses of a connection above which no further request is passed on.
/// As much may wait in the output buffer of a connection before the sender is paused.
constexpr std::size_t MaxHeldBytes = 262'144;

} // namespace

bool RequestsAhead::hasRoom() const
{
    const bool isAborted = std::any_of(m_responses.begin(), m_responses.end(),
                                       [](const auto &it) { return it->isAborted; });
    return !isAborted && m_responses.size() < MaxRequestsAhead && heldBytes() <= MaxHeldBytes;
}

std::size_t RequestsAhead::heldBytes() const
{
    return std::accumulate(m_responses.begin(), m_responses.end(), std::size_t(0),
                           [](std::size_t sum, const std::shared_ptr<HeldResponse> &it) {
                               return sum + it->body.size();
                           });
}

std::shared_ptr<HeldResponse> RequestsAhead::takeNext()
{
    std::shared_ptr<HeldResponse> next = std::move(m_responses.front());
    m_responses.pop_front();
    return next;
}

void RequestsAhead::endAll(CloseCause cause)
{
    // Handlers of disconnected() may destroy other exchanges, which clears the pointers to them.
    const std::deque<std::shared_ptr<HeldResponse>> responses = std::exchange(m_responses, {});
    for (const std::shared_ptr<HeldResponse> &it : responses) {
        if (it->exchange != nullptr && !it->exchange->ended) {
            it->exchange->onConnectionEnded(cause);
        } else if (!it->isAborted) {
            ConnectionCloses::logUnsent(cause, it->requestId, it->status);
        }
    }
}

} // namespace Tarragon
