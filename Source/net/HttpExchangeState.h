#pragma once

#include "net/HttpExchange.h"
#include "net/HttpServerConnection.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <string>

struct evhttp_request;

namespace Tarragon {

/// The evhttp request behind an exchange. What the request holds is copied when it is asked for, or
/// before evhttp frees the request.
struct HttpExchange::State
{
    State(std::shared_ptr<HttpServerConnection> serverConnection, evhttp_request *evhttpRequest);
    ~State();
    State(const State &) = delete;
    State &operator=(const State &) = delete;

    /// Copies everything out of the request, which is about to be freed.
    void detach();
    /// Detaches, marks the exchange as ended and emits disconnected().
    void peerGone();
    void loadTarget();
    void loadHeaders();
    void loadBody();
    /// Adds the headers of a response; the framing fields only as far as they are right.
    void addHeaders(int status, const HttpHeaders &headers, bool withLength);

    std::shared_ptr<HttpServerConnection> connection;
    evhttp_request *request = nullptr;
    bool started = false;
    bool ended = false;
    bool chunkedSupported = false;
    bool bodyless = false;
    /// Bytes of a streamed body that its Content-Length still announces.
    std::optional<std::uint64_t> remaining;
    std::string method;
    std::optional<std::string> target;
    std::string path;
    std::optional<HttpHeaders> requestHeaders;
    std::optional<std::string> requestBody;
    std::optional<std::string> peerAddress;
    sigc::signal<void()> disconnectedSignal;
    sigc::signal<void()> drainedSignal;
};

} // namespace Tarragon
