#pragma once

#include "net/CloseCause.h"
#include "net/HttpHeaders.h"
#include "net/RequestBody.h"

#include <sigc++/sigc++.h>

#include <memory>
#include <string>
#include <string_view>

namespace Tarragon {

/// A request that an HttpServer received, and the response to it. Every exchange ends with reply(),
/// finish() or abort(). Destroying an exchange before that aborts it. The response to a pipelined
/// request is held until the responses to the requests before it have been written.
class HttpExchange
{
public:
    struct State;

    explicit HttpExchange(std::unique_ptr<State> state);
    ~HttpExchange();
    HttpExchange(const HttpExchange &) = delete;
    HttpExchange &operator=(const HttpExchange &) = delete;

    const std::string &method() const;
    /// Returns the path without the query, as sent by the peer.
    const std::string &path() const;
    /// Returns the percent-decoded value of a query parameter; empty if it is absent.
    std::string query(const std::string &name) const;
    /// Returns the path and query as sent by the peer. A target in absolute form is reduced to
    /// these.
    const std::string &uri() const;
    const HttpHeaders &headers() const;
    std::string_view body() const;
    /// Returns the body for sending it without a copy; null if the request has none.
    std::shared_ptr<const RequestBody> sharedBody() const;
    /// Returns the IP address of the peer.
    const std::string &remoteAddress() const;
    /// Whether the peer supports chunked bodies: it uses HTTP/1.1 or later.
    bool supportsChunked() const;

    /// Sends a complete response and ends the exchange.
    void reply(int status, const HttpHeaders &headers, std::string_view body);
    /// Starts a streamed response. With a Content-Length header the body is sent as it is,
    /// otherwise chunked.
    void startReply(int status, const HttpHeaders &headers);
    /// Sends the next bytes of a streamed response's body. Aborts the exchange and throws Error if
    /// the body becomes longer than the announced Content-Length.
    void send(std::string_view data);
    /// Returns how many bytes passed to send() are still buffered in this process. While the
    /// response is held, these are the bytes of all held responses of the connection.
    std::size_t bufferedBytes() const;
    /// Ends a streamed response. Aborts the exchange and throws Error if the body is shorter than
    /// the announced Content-Length.
    void finish();
    /// Resets the connection, so that the peer sees that the response is truncated. If the response
    /// is held, the connection is closed in its turn and nothing of the response is sent.
    void abort();
    /// Like abort(), because the handler has thrown an exception; also emits disconnected(). Logs
    /// the request if nothing is connected to that.
    void fail(const std::string &reason);
    /// Whether the exchange has ended or the connection has.
    bool isEnded() const;
    /// Returns why the connection ended before the exchange. Valid when disconnected() is emitted.
    CloseCause endCause() const;
    /// Returns the reason that fail() was given; empty if it was not called.
    const std::string &failure() const;

    /// Emitted once when the connection ends before the exchange.
    sigc::signal<void()> &disconnected();
    /// Emitted when the buffered bytes of a streamed response have been written to the socket, and
    /// when a response without buffered bytes is no longer held.
    sigc::signal<void()> &drained();

private:
    std::unique_ptr<State> m_state;
};

using HttpExchangePtr = std::shared_ptr<HttpExchange>;

} // namespace Tarragon
