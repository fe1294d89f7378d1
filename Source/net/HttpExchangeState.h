#pragma once

#include "net/HttpExchange.h"
#include "net/HttpServerConnection.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <string>

struct evhttp_request;

namespace Tarragon {

struct HeldResponse;
struct PipelinedRequest;

/// The evhttp request of an exchange. Fields of the request are copied on first access, or before
/// evhttp frees the request. The exchange of a pipelined request has no evhttp request until its
/// turn; until then its response is held.
struct HttpExchange::State
{
    State(std::shared_ptr<HttpServerConnection> serverConnection, evhttp_request *evhttpRequest);
    /// Creates the exchange of a pipelined request, whose response is recorded in heldResponse.
    State(std::shared_ptr<HttpServerConnection> serverConnection, PipelinedRequest pipelined,
          std::string address, std::shared_ptr<HeldResponse> heldResponse);
    ~State();
    State(const State &) = delete;
    State &operator=(const State &) = delete;

    /// Copies all fields of the evhttp request, which is about to be freed, and drops the pointer
    /// to it.
    void detach();
    /// Calls detach(), marks the exchange as ended and emits disconnected().
    void onConnectionEnded(CloseCause cause);
    /// Uses an evhttp request from now on, and starts to deliver what was held of the response.
    void bind(evhttp_request *evhttpRequest);
    void loadTarget();
    /// Sets target and path from a target in origin or absolute form.
    void setTarget(std::string requestTarget);
    void loadHeaders();
    /// Records status and headers of a response that is held. Throws Error like addHeaders().
    void holdHead(int status, const HttpHeaders &headers);
    /// Adds the headers of a response. Leaves out Transfer-Encoding, and Content-Length unless
    /// withLength is set and the status permits it, because evhttp sets the framing.
    /// A "Connection: close" is left to the last of the requests that were passed to the handler.
    void addHeaders(int status, const HttpHeaders &headers, bool withLength);

    std::shared_ptr<HttpServerConnection> connection;
    evhttp_request *request = nullptr;
    /// The response while it waits for its turn; null from then on.
    std::shared_ptr<HeldResponse> held;
    bool started = false;
    bool ended = false;
    /// Why the connection ended before the exchange.
    CloseCause endCause = CloseCause::CallerGone;
    /// Why the handler failed; empty if it did not.
    std::string failure;
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
