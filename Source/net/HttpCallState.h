#pragma once

#include "net/HttpCall.h"
#include "net/HttpClient.h"

namespace Tarragon {

class HttpClientConnection;

/// State that a call shares with its connection.
struct HttpCall::State
{
    /// Ends the call without calling a handler.
    void cancel();
    /// Ends the call, then calls its onComplete handler.
    void complete();
    /// Ends the call, then calls its onFailure handler.
    void fail(const HttpFailure &failure);

    HttpCallHandlers handlers;
    /// Connection that runs the call; null before a connection was assigned and after the call
    /// ended.
    HttpClientConnection *connection = nullptr;
    ConnectionUse use;
    bool ended = false;
    bool paused = false;
};

} // namespace Tarragon
