#pragma once

#include "base/StrongNumber.h"

#include <cstdint>
#include <memory>

namespace Tarragon {

/// A connection of an HttpClient, counted from 1 in the order in which the client made them.
using ConnectionNumber = StrongNumber<struct ConnectionTag>;

/// Identifies an exchange on a connection.
struct ConnectionUse
{
    /// 0 if the call was assigned no connection.
    ConnectionNumber connection;
    /// Counted from 1 on each connection. What arrives in the first exchange cannot be surplus
    /// bytes of an earlier one.
    std::uint64_t exchange = 0;
};

/// Handle of an HttpClient call in progress. Destroying it cancels the call and resets the call's
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
    /// Prevents later calls with the same request id from using this connection: a late copy of
    /// this response could not be told from the response to such a call. Must be called after the
    /// response head has been received.
    void excludeIdFromConnection();
    /// Whether input of the call has arrived that was not processed, and the call is not paused.
    /// For time limits, which may fire before such input is read.
    bool hasUnreadInput() const;
    /// Returns the connection that carries the call, also after the call has ended.
    const ConnectionUse &use() const;
    /// Returns the state that the call shares with its connection; used by HttpClient only.
    const std::shared_ptr<State> &state() const { return m_state; }

private:
    std::shared_ptr<State> m_state;
};

using HttpCallPtr = std::unique_ptr<HttpCall>;

} // namespace Tarragon
