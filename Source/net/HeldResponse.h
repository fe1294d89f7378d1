#pragma once

#include "net/HttpExchange.h"
#include "net/HttpHeaders.h"

#include <memory>
#include <string>

struct evhttp_request;

namespace Tarragon {

class HttpServerConnection;

/// The response to a pipelined request, as far as it is known, while the responses before it on the
/// connection have not been written.
struct HeldResponse
{
    /// Delivers the response through a request that evhttp has created for it. The exchange uses
    /// that request from now on if it has not ended.
    void deliver(const std::shared_ptr<HttpServerConnection> &connection, evhttp_request *request);

    /// The exchange of the response; null if its HttpExchange was destroyed.
    HttpExchange::State *exchange = nullptr;
    std::string method;
    /// Id of the request, for the log; empty if it has none.
    std::string requestId;
    int status = 0;
    HttpHeaders headers;
    std::string body;
    /// Whether the response was started by startReply().
    bool isStreamed = false;
    bool isAborted = false;
};

} // namespace Tarragon
