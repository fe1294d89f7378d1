#pragma once

#include <memory>

namespace Tarragon {

/// Handle of an HttpClient call in progress. Destroying it cancels the call and closes the call's
/// connection.
class HttpCall
{
public:
    struct State;

    explicit HttpCall(std::shared_ptr<State> state);
    ~HttpCall();
    HttpCall(const HttpCall &) = delete;
    HttpCall &operator=(const HttpCall &) = delete;

    /// Stops reading the response, so that TCP flow control slows the sender down.
    void pause();
    /// Continues to read the response after pause().
    void resume();
    /// Makes the client close the connection after the response instead of reusing it. Must be
    /// called after the response head has been received, which resets this choice.
    void closeAfterResponse();
    /// Returns the state that the call shares with its connection; used by HttpClient only.
    const std::shared_ptr<State> &state() const { return m_state; }

private:
    std::shared_ptr<State> m_state;
};

using HttpCallPtr = std::unique_ptr<HttpCall>;

} // namespace Tarragon
