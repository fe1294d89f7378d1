#include "net/HttpCall.h"

#include "net/Guard.h"
#include "net/HttpCallState.h"
#include "net/HttpClientConnection.h"

#include <utility>

namespace Tarragon {

void HttpCall::State::cancel()
{
    // The handlers are destroyed with the state and not here, because one of them may be running.
    ended = true;
    if (HttpClientConnection *const used = std::exchange(connection, nullptr)) {
        used->abandon();
    }
}

void HttpCall::State::complete()
{
    ended = true;
    connection = nullptr;
    const HttpCallHandlers finalHandlers = std::exchange(handlers, HttpCallHandlers());
    guarded("HTTP client", [&finalHandlers] { finalHandlers.onComplete(); });
}

void HttpCall::State::fail(const HttpFailure &failure)
{
    ended = true;
    connection = nullptr;
    const HttpCallHandlers finalHandlers = std::exchange(handlers, HttpCallHandlers());
    guarded("HTTP client", [&finalHandlers, &failure] { finalHandlers.onFailure(failure); });
}

HttpCall::HttpCall(std::shared_ptr<State> state)
    : m_state(std::move(state))
{}

HttpCall::~HttpCall()
{
    if (!m_state->ended) {
        m_state->cancel();
    }
}

void HttpCall::pause()
{
    m_state->paused = true;
    if (m_state->connection != nullptr) {
        m_state->connection->pause();
    }
}

void HttpCall::resume()
{
    m_state->paused = false;
    if (m_state->connection != nullptr) {
        m_state->connection->resume();
    }
}

void HttpCall::closeAfterResponse()
{
    if (m_state->connection != nullptr) {
        m_state->connection->closeAfterResponse();
    }
}

void HttpCall::excludeIdFromConnection()
{
    if (m_state->connection != nullptr) {
        m_state->connection->excludeId();
    }
}

bool HttpCall::hasUnreadInput() const
{
    return m_state->connection != nullptr && m_state->connection->hasUnreadInput();
}

const ConnectionUse &HttpCall::use() const
{
    return m_state->use;
}

} // namespace Tarragon
