#pragma once

#include "base/Ids.h"
#include "base/Units.h"
#include "net/EventLoop.h"
#include "net/HttpCall.h"
#include "net/HttpHeaders.h"
#include "net/RequestBody.h"

#include <cstdint>
#include <memory>
#include <string>

namespace Tarragon {

/// A request to send.
struct HttpRequest
{
    std::string address;
    std::uint16_t port = 0;
    std::string method = "GET";
    /// Path and query.
    std::string uri = "/";
    HttpHeaders headers;
    std::string body;
    /// Sent without a copy instead of `body`, unless null.
    std::shared_ptr<const RequestBody> sharedBody;
    /// Id by which the peer's response is recognised. The request is not sent on a connection from
    /// which its id is excluded.
    RequestId id;
    milliseconds connectTimeout{ 1'000 };
    /// Timeout of the whole exchange, counted from the call of send().
    milliseconds timeout{ 10'000 };
    /// An idle connection is reused only if its last response is at most this old. A connection may
    /// go silent without being closed; then every call on it waits until its timeout.
    milliseconds maxIdleTime{ 10'000 };
    /// Whether to accept a response with neither Content-Length nor chunked coding, whose body ends
    /// with a regular close of the connection. Otherwise such a response is a failure at the stage
    /// Body, because a truncated body could not be detected.
    bool acceptUnframed = false;
};

/// How far a failed call got.
enum class HttpStage {
    /// No connection was made; nothing of the request was sent.
    Connect,
    /// The connection was made and failed before all of the request was written to the socket.
    Send,
    /// The request was sent, but no complete and valid response head was received.
    AwaitHeaders,
    /// The response's body was truncated or malformed, or its length cannot be determined.
    Body,
};

/// Describes why and at which stage a call failed.
struct HttpFailure
{
    HttpStage stage = HttpStage::Connect;
    bool timedOut = false;
    /// Whether any byte of the request was written to the socket. If none was, the peer cannot have
    /// received any part of the request.
    bool anySent = false;
    /// Whether the call reused a keep-alive connection, which the peer may have been closing.
    bool onReusedConnection = false;
    /// Whether the response's body exceeds the limit of fetch().
    bool isBodyTooLong = false;
    std::string reason;
};

/// Status and headers of a response.
struct HttpResponseHead
{
    int status = 0;
    HttpHeaders headers;
};

/// Handlers for the events of one call. No handler is called after onComplete or onFailure.
struct HttpCallHandlers
{
    sigc::slot<void(const HttpResponseHead &)> onHead;
    sigc::slot<void(std::string_view)> onData;
    sigc::slot<void()> onComplete;
    sigc::slot<void(const HttpFailure &)> onFailure;
};

/// A complete response, for calls that do not stream.
struct HttpResponse
{
    HttpResponseHead head;
    std::string body;
};

/// HTTP/1.1 client on evhttp. It keeps idle connections for reuse, by address and port. A
/// connection whose call failed, timed out or was cancelled is closed and never reused. Idle
/// connections are closed after 10 s, or 1 s before the timeout that the peer states in Keep-Alive
/// if that is earlier. A client must not be destroyed by one of its own handlers.
class HttpClient
{
public:
    struct State;

    explicit HttpClient(EventLoop &loop);
    ~HttpClient();
    HttpClient(const HttpClient &) = delete;
    HttpClient &operator=(const HttpClient &) = delete;

    /// Sends the request. Handlers are called from the loop, never from within send(). Destroying
    /// the returned call cancels it; no handler is called after that. Throws Error if the request
    /// has an unknown method, or a request target or header field that would corrupt the message.
    HttpCallPtr send(const HttpRequest &request, HttpCallHandlers handlers);
    /// Sends the request and collects the whole response. A body of more than maxBody bytes is a
    /// failure at the stage Body.
    HttpCallPtr fetch(const HttpRequest &request, ByteCount maxBody,
                      sigc::slot<void(const HttpResponse &)> onResponse,
                      sigc::slot<void(const HttpFailure &)> onFailure);
    /// Sets how many idle connections are kept for each address and port.
    void setMaxIdleConnections(std::size_t count);

private:
    std::shared_ptr<State> m_state;
};

} // namespace Tarragon
