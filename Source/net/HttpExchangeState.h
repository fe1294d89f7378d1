#pragma once

#include "net/HttpExchange.h"
#include "net/HttpServerConnection.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <string>

struct evhttp_request;

namespace Tarragon {

/// The evhttp request of an exchange. Fields of the request are copied on first access, or before
/// evhttp frees the request.
struct HttpExchange::State
{
    State(std::shared_ptr<HttpServerConnection> serverConnection, evhttp_request *evhttpRequest);
    ~State();
    State(const State &) = delete;
    State &operator=(const State &) = delete;

    /// Copies all fields of the evhttp request, which is about to be freed, and drops the pointer
    /// to it.
    void detach();
    /// Calls detach(), marks the exchange as ended and emits disconnected().
    void onPeerDisconnected();
    void loadTarget();
    void loadHeaders();
    /// Adds the headers of a response. Leaves out Transfer-Encoding, and Content-Length unless
    /// withLength is set and the status permits it, because evhttp sets the framing.
    void addHeaders(int status, const HttpHeaders &headers, bool withLength);

    std::shared_ptr<HttpServerConnection> connection;
    evhttp_request *request = nullptr;
    bool started = false;
    bool ended = false;
    bool chunkedSupported = false;
    bool bodyless = false;
    /// Bytes that a streamed body still needs to reach its announced Content-Length.
    std::optional<std::uint64_t> remaining;
    std::string method;
    std::optional<std::string> target;
    std::string path;
    std::optional<HttpHeaders> requestHeaders;
    std::shared_ptr<const RequestBody> requestBody;
    std::optional<std::string> peerAddress;
    sigc::signal<void()> disconnectedSignal;
    sigc::signal<void()> drainedSignal;
};

} // namespace Tarragon
