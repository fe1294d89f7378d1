#pragma once

#include "net/HttpCall.h"
#include "net/HttpClient.h"

namespace Tarragon {

class HttpClientConnection;

/// What a call and its connection share.
struct HttpCall::State
{
    /// Ends the call without calling a handler.
    void cancel();
    /// Ends the call, then tells its handler.
    void complete();
    void fail(const HttpFailure &failure);

    HttpCallHandlers handlers;
    /// Null before the call was given a connection and after it has ended.
    HttpClientConnection *connection = nullptr;
    bool ended = false;
    bool paused = false;
};

} // namespace Tarragon
