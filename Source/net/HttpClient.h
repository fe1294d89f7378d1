#pragma once

#include "base/Units.h"
#include "net/EventLoop.h"
#include "net/HttpCall.h"
#include "net/HttpHeaders.h"

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
    milliseconds connectTimeout{ 1'000 };
    /// Time for the whole exchange, counted from the call of send().
    milliseconds timeout{ 10'000 };
    /// Whether a body without a length that ends with a regular close of the connection is
    /// complete. Otherwise it is a failure at the stage Body, as it may have been cut short.
    bool acceptUnframed = false;
};

/// How far a failed call got.
enum class HttpStage {
    /// No connection was made; nothing of the request was sent.
    Connect,
    /// The connection was made and broke before all of the request was handed to the socket.
    Send,
    /// The request was sent, and no complete response header came.
    AwaitHeaders,
    /// The response's body was cut short, or its length cannot be known.
    Body,
};

/// A call that failed.
struct HttpFailure
{
    HttpStage stage = HttpStage::Connect;
    bool timedOut = false;
    /// Whether any byte of the request was handed to the socket. If none was, the peer cannot have
    /// seen the request.
    bool anySent = false;
    /// Whether the call used a kept connection, which the peer may have been closing.
    bool onKeptConnection = false;
    std::string reason;
};

/// Status and headers of a response.
struct HttpResponseHead
{
    int status = 0;
    HttpHeaders headers;
};

/// Receives the events of one call. After onComplete or onFailure nothing follows.
struct HttpCallHandlers
{
    sigc::slot<void(const HttpResponseHead &)> onHead;
    sigc::slot<void(std::string_view)> onData;
    sigc::slot<void()> onComplete;
    sigc::slot<void(const HttpFailure &)> onFailure;
};

/// A whole response, for calls that do not stream.
struct HttpResponse
{
    HttpResponseHead head;
    std::string body;
};

/// HTTP/1.1 client on evhttp with kept connections by address and port. A connection whose call
/// failed, timed out or was cancelled is closed and never used again. Kept connections are closed
/// after 10 s without a call, or a second before the time that the peer states in Keep-Alive. A
/// client must not be destroyed by one of its own handlers.
class HttpClient
{
public:
    struct State;

    explicit HttpClient(EventLoop &loop);
    ~HttpClient();
    HttpClient(const HttpClient &) = delete;
    HttpClient &operator=(const HttpClient &) = delete;

    /// Sends the request. Handlers are called from the loop, never from within send(). Destroying
    /// the returned call cancels it; then no handler is called any more. Throws Error if the
    /// request has an unknown method, or a target or header field that would break the message.
    HttpCallPtr send(const HttpRequest &request, HttpCallHandlers handlers);
    /// Sends the request and gathers the response, up to maxBody bytes; more is a failure at the
    /// stage Body.
    HttpCallPtr fetch(const HttpRequest &request, ByteCount maxBody,
                      sigc::slot<void(const HttpResponse &)> onResponse,
                      sigc::slot<void(const HttpFailure &)> onFailure);
    /// Idle connections kept for each address and port.
    void setMaxIdleConnections(std::size_t count);

private:
    std::shared_ptr<State> m_state;
};

} // namespace Tarragon
