#pragma once

#include "net/HttpHeaders.h"

#include <sigc++/sigc++.h>

#include <memory>
#include <string>
#include <string_view>

namespace Tarragon {

/// One request that a server received and the response to it. Every exchange ends with reply(),
/// finish() or abort(); if the last reference goes before that, the exchange aborts.
class HttpExchange
{
public:
    struct State;

    explicit HttpExchange(std::unique_ptr<State> state);
    ~HttpExchange();
    HttpExchange(const HttpExchange &) = delete;
    HttpExchange &operator=(const HttpExchange &) = delete;

    const std::string &method() const;
    /// Path without the query, as sent.
    const std::string &path() const;
    /// Value of a query parameter after percent-decoding; empty if absent.
    std::string query(const std::string &name) const;
    /// The request's target as sent: path and query.
    const std::string &uri() const;
    const HttpHeaders &headers() const;
    const std::string &body() const;
    /// Address of the peer.
    const std::string &remoteAddress() const;
    /// Whether the peer speaks HTTP/1.1 or later.
    bool supportsChunked() const;

    /// Sends a whole response and ends the exchange.
    void reply(int status, const HttpHeaders &headers, std::string_view body);
    /// Starts a streamed response. With a Content-Length header the body is sent as it is,
    /// otherwise chunked.
    void startReply(int status, const HttpHeaders &headers);
    /// Sends a part of a streamed response's body.
    void send(std::string_view data);
    /// Bytes that were sent but are still in this process's buffers.
    std::size_t bufferedBytes() const;
    /// Ends a streamed response.
    void finish();
    /// Breaks the connection, so that the caller sees that the response is truncated.
    void abort();
    /// Whether the exchange has ended or the peer has gone.
    bool isEnded() const;

    /// Emitted once when the peer disconnects before the exchange has ended.
    sigc::signal<void()> &disconnected();
    /// Emitted when buffered bytes of a streamed response have been written out.
    sigc::signal<void()> &drained();

private:
    std::unique_ptr<State> m_state;
};

using HttpExchangePtr = std::shared_ptr<HttpExchange>;

} // namespace Tarragon
