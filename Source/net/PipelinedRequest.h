#pragma once

#include "net/HttpHeaders.h"

#include <optional>
#include <string>
#include <string_view>

struct evhttp_request;

namespace Tarragon {

/// A request that may be processed while the requests before it on its connection are in progress.
struct PipelinedRequest
{
    std::string method;
    /// The target as sent by the peer, in origin or absolute form.
    std::string target;
    HttpHeaders headers;
};

/// Parses the head of a request that checkRequestHead() accepts. Returns nothing if the request
/// must wait for the response to the one before it: it is not a GET or HEAD request of HTTP/1.1, it
/// ends the connection or expects an interim response, or evhttp would reject its target.
std::optional<PipelinedRequest> parsePipelinedRequest(std::string_view head);
/// Whether requests behind this one may be processed before it is answered.
bool isPipelinable(const evhttp_request &request);

} // namespace Tarragon
