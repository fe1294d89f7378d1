#pragma once

#include "net/HttpHeaders.h"

#include <string_view>

struct evhttp_request;

namespace Tarragon {

/// How the end of a response's body is found.
enum class BodyEnd {
    /// The response has no body.
    NoBody,
    ContentLength,
    LastChunk,
    /// The end of the connection, if it is an orderly one.
    ConnectionEnd,
};

/// What the head of a final response states about its body and the connection, or why the response
/// is rejected.
struct HttpResponseFraming
{
    /// Reason of the rejection; empty if the response is acceptable.
    std::string_view rejectReason;
    BodyEnd bodyEnd = BodyEnd::NoBody;
    /// Whether the peer keeps the connection open after the response.
    bool isKeepAlive = false;
};

/// Checks the head of a final response that evhttp has read. evhttp accepts several malformed heads
/// after which it would find another end of the body than the peer. `headers` are the fields of the
/// response.
HttpResponseFraming checkResponseHead(const evhttp_request &request, const HttpHeaders &headers);

} // namespace Tarragon
