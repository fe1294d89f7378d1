#pragma once

#include <memory>

namespace Tarragon {

/// A call in progress. Destroying it cancels the call and closes its connection.
class HttpCall
{
public:
    struct State;

    explicit HttpCall(std::shared_ptr<State> state);
    ~HttpCall();
    HttpCall(const HttpCall &) = delete;
    HttpCall &operator=(const HttpCall &) = delete;

    /// Stops reading the response, so that the sender is slowed down.
    void pause();
    /// Reads on.
    void resume();
    /// Has the connection closed after the response. To be called once the head has come.
    void closeAfterResponse();
    /// For HttpClient.
    const std::shared_ptr<State> &state() const { return m_state; }

private:
    std::shared_ptr<State> m_state;
};

using HttpCallPtr = std::unique_ptr<HttpCall>;

} // namespace Tarragon
