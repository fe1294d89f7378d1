#include "net/HttpClientConnection.h"

#include "base/Digest.h"
#include "base/Error.h"
#include "net/Guard.h"
#include "net/HttpCallState.h"
#include "net/HttpClientState.h"
#include "net/HttpIdleTimeout.h"
#include "net/HttpResponseFraming.h"
#include "net/HttpSyntax.h"
#include "net/KeepAliveProbes.h"
#include "net/SocketQueues.h"
#include "net/SocketReset.h"

#include <event2/buffer.h>
#include <event2/event.h>
#include <event2/http_struct.h>
#include <event2/keyvalq_struct.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <string_view>

#include <sys/socket.h>

namespace Tarragon {

namespace {

/// Maximum number of response bytes buffered before the call's handler has received them.
constexpr std::size_t MaxReadAheadBytes = 65'536;
/// Maximum size of a response's status line and header fields together.
constexpr ev_ssize_t MaxHeadBytes = 32'768;
/// evhttp's timeout restarts with every byte. It is therefore set to a week, and a timer enforces
/// the timeouts of calls.
constexpr int EvhttpTimeoutSeconds = 604'800;

/// Number of excluded ids at which a connection is closed, which bounds its memory. Under overload
/// a connection lasts for at least so many refusals.
constexpr std::size_t MaxExcludedIds = 32;

constexpr int Continue = 100;
/// Maximum number of interim responses to one request; a server needs one to ask for the body.
constexpr int MaxInterimHeads = 8;
constexpr int MinFinalStatus = 200;
constexpr int MaxStatus = 599;

/// Passes the buffer's contiguous blocks to the function and removes them, until the buffer is
/// empty or the function returns false.
template<typename Function>
void forEachBlock(evbuffer *buffer, const Function &function)
{
    while (const std::size_t n = evbuffer_get_contiguous_space(buffer)) {
        const char *data = reinterpret_cast<const char *>(evbuffer_pullup(buffer, ev_ssize_t(n)));
        const bool proceed = function(std::string_view(data, n));
        evbuffer_drain(buffer, n);
        if (!proceed) {
            return;
        }
    }
}

std::string describe(evhttp_request_error error)
{
    switch (error) {
    case EVREQ_HTTP_TIMEOUT:
        return "no data from the peer";
    case EVREQ_HTTP_EOF:
        return "connection closed by the peer";
    case EVREQ_HTTP_INVALID_HEADER:
        return "malformed or oversized response head";
    case EVREQ_HTTP_BUFFER_ERROR:
        return "error on the connection";
    case EVREQ_HTTP_REQUEST_CANCEL:
        return "cancelled";
    case EVREQ_HTTP_DATA_TOO_LONG:
        return "malformed response body";
    }
    return "unknown error";
}

} // namespace

/// Marks that a callback of the connection is running, so that the connection is not freed while
/// evhttp still uses it.
class HttpClientConnection::CallbackScope
{
public:
    explicit CallbackScope(HttpClientConnection &connection)
        : m_connection(&connection)
    {
        ++m_connection->m_callbackDepth;
    }
    ~CallbackScope() { --m_connection->m_callbackDepth; }
    CallbackScope(const CallbackScope &) = delete;
    CallbackScope &operator=(const CallbackScope &) = delete;

private:
    HttpClientConnection *m_connection;
};

HttpClientConnection::HttpClientConnection(HttpClient::State &client, ConnectionNumber number,
                                           Destination destination)
    : m_client(&client)
    , m_destination(std::move(destination))
    , m_use{ number, 0 }
{
    m_bufferEvent = bufferevent_socket_new(client.loop.base(), -1, BEV_OPT_CLOSE_ON_FREE);
    m_connection = evhttp_connection_base_bufferevent_new(
            client.loop.base(), nullptr, m_bufferEvent, m_destination.first.c_str(),
            m_destination.second);
    m_timer = evtimer_new(client.loop.base(), onTimer, this);
    m_encodedBody = evbuffer_new();
    if (m_connection == nullptr || m_timer == nullptr || m_encodedBody == nullptr) {
        throw Error("libevent could not make an HTTP connection");
    }
    m_peerEnd = std::make_unique<PeerEnd>(m_bufferEvent, m_connection);
    evhttp_connection_set_timeout(m_connection, EvhttpTimeoutSeconds);
    evhttp_connection_set_retries(m_connection, 0);
    evhttp_connection_set_max_headers_size(m_connection, MaxHeadBytes);
    evhttp_connection_set_closecb(m_connection, onClosed, this);
    evbuffer_add_cb(bufferevent_get_input(m_bufferEvent), onInputChanged, this);
    evbuffer_add_cb(bufferevent_get_output(m_bufferEvent), onOutputChanged, this);
    bufferevent_setwatermark(m_bufferEvent, EV_READ, 0, MaxReadAheadBytes);
}

HttpClientConnection::~HttpClientConnection()
{
    m_closing = true;
    if (m_call != nullptr) {
        m_call->connection = nullptr;
        m_call->ended = true;
    }
    evhttp_connection_free(m_connection);
    event_free(m_timer);
    evbuffer_free(m_encodedBody);
}

void HttpClientConnection::start(const HttpRequest &request, evhttp_cmd_type method,
                                 std::shared_ptr<HttpCall::State> call)
{
    m_idle = false;
    ++m_use.exchange;
    m_anySent = false;
    m_allSent = false;
    m_headSeen = false;
    m_interimHeads = 0;
    m_scanner.reset();
    m_reusable = false;
    m_chunked = false;
    m_isReadDeferred = false;
    m_inputGrace.reset();
    m_acceptUnframed = request.acceptUnframed;
    m_rejectionReason.clear();
    m_error = EVREQ_HTTP_EOF;
    m_call = std::move(call);
    m_call->connection = this;
    m_call->use = m_use;
    m_requestId = request.id;
    m_deadline = m_client->loop.now() + request.timeout;

    evhttp_request *evhttpRequest = evhttp_request_new(onDone, this);
    evhttp_request_set_header_cb(evhttpRequest, onHead);
    evhttp_request_set_chunked_cb(evhttpRequest, onBodyData);
    evhttp_request_set_error_cb(evhttpRequest, onError);
    evkeyvalq *fields = evhttpRequest->output_headers;
    for (const HttpHeaders::Field &field : request.headers.fields()) {
        // Expect would make evhttp delay the body until the server responds with 100. The framing
        // headers are set below.
        if (!equalsIgnoringCase(field.first, "Expect")
            && !equalsIgnoringCase(field.first, "Transfer-Encoding")
            && !equalsIgnoringCase(field.first, "Content-Length")) {
            evhttp_add_header(fields, field.first.c_str(), field.second.c_str());
        }
    }
    if (evhttp_find_header(fields, "Host") == nullptr) {
        const bool isV6 = m_destination.first.find(':') != std::string::npos;
        const std::string host = (isV6 ? "[" + m_destination.first + "]" : m_destination.first)
                                 + ":" + std::to_string(m_destination.second);
        evhttp_add_header(fields, "Host", host.c_str());
    }
    const bool hasBody = method == EVHTTP_REQ_POST || method == EVHTTP_REQ_PUT
                         || method == EVHTTP_REQ_PATCH || !request.body.empty()
                         || request.sharedBody != nullptr;
    if (hasBody && request.sharedBody != nullptr) {
        evhttp_add_header(fields, "Content-Length",
                          std::to_string(request.sharedBody->size()).c_str());
        addBodyReference(evhttpRequest->output_buffer, request.sharedBody);
    } else if (hasBody) {
        evhttp_add_header(fields, "Content-Length", std::to_string(request.body.size()).c_str());
        evbuffer_add(evhttpRequest->output_buffer, request.body.data(), request.body.size());
    }
    const milliseconds first =
            m_connected ? request.timeout : std::min(request.timeout, request.connectTimeout);
    armTimer(first);

    const CallbackScope scope(*this);
    m_isStarting = true;
    if (evhttp_make_request(m_connection, evhttpRequest, method, request.uri.c_str()) != 0
        && m_call != nullptr) {
        fail(false, "evhttp could not start the request");
    }
    m_isStarting = false;
}

void HttpClientConnection::abandon()
{
    m_call.reset();
    reset();
}

void HttpClientConnection::reset()
{
    bufferevent_disable(m_bufferEvent, EV_READ | EV_WRITE);
    // After a regular close the system would still deliver a request that it has not sent, and the
    // peer would work on it.
    resetConnection(bufferevent_getfd(m_bufferEvent));
    m_client->discard(*this);
}

void HttpClientConnection::pause()
{
    if (m_headSeen) {
        bufferevent_disable(m_bufferEvent, EV_READ);
    }
}

void HttpClientConnection::resume()
{
    if (m_headSeen) {
        bufferevent_enable(m_bufferEvent, EV_READ);
        if (m_chunked) {
            deferRead();
        }
    }
}

void HttpClientConnection::excludeId()
{
    m_excludedIds.push_back(stableHash(m_requestId.value()));
    m_reusable = m_reusable && m_excludedIds.size() < MaxExcludedIds;
}

bool HttpClientConnection::isExcluded(const RequestId &id) const
{
    return !m_excludedIds.empty()
           && std::find(m_excludedIds.begin(), m_excludedIds.end(), stableHash(id.value()))
                      != m_excludedIds.end();
}

void HttpClientConnection::becomeIdle()
{
    m_idle = true;
    m_idleSince = m_client->loop.now();
    armTimer(m_idleTimeout);
}

bool HttpClientConnection::isUsable(microseconds maxIdleTime) const
{
    char ch = 0;
    return m_client->loop.now() - m_idleSince <= maxIdleTime
           && evbuffer_get_length(bufferevent_get_input(m_bufferEvent)) == 0
           && recv(bufferevent_getfd(m_bufferEvent), &ch, 1, MSG_PEEK | MSG_DONTWAIT) < 0
           && (errno == EAGAIN || errno == EWOULDBLOCK);
}

void HttpClientConnection::armTimer(microseconds delay)
{
    const timeval tv = toTimeval(std::max(delay, microseconds(0)));
    event_add(m_timer, &tv);
}

void HttpClientConnection::onTimer(evutil_socket_t, short, void *arg)
{
    static_cast<HttpClientConnection *>(arg)->timeOut();
}

void HttpClientConnection::timeOut()
{
    if (m_idle) {
        m_client->removeIdle(*this);
        m_client->discard(*this);
        return;
    }
    const MonotonicTime now = m_client->loop.now();
    const microseconds left = m_deadline - now;
    if (m_connected && left > microseconds(0)) {
        m_inputGrace.reset();
        armTimer(left);
        return;
    }
    // A connection that is made after the call's time would only carry a request in vain.
    const bool hasInput =
            m_connected ? hasUnreadInput()
                        : left > microseconds(0) && isWritable(bufferevent_getfd(m_bufferEvent));
    if (m_inputGrace.mustWait(hasInput, now)) {
        armTimer(microseconds(0));
        return;
    }
    fail(true, "timed out");
}

bool HttpClientConnection::hasUnreadInput() const
{
    return (bufferevent_get_enabled(m_bufferEvent) & EV_READ) != 0
           && (m_isReadDeferred || isReadable(bufferevent_getfd(m_bufferEvent)));
}

HttpStage HttpClientConnection::stage() const
{
    if (!m_connected) {
        return HttpStage::Connect;
    }
    if (m_headSeen) {
        return HttpStage::Body;
    }
    return m_allSent ? HttpStage::AwaitHeaders : HttpStage::Send;
}

void HttpClientConnection::fail(bool timedOut, const std::string &reason)
{
    HttpFailure failure;
    failure.stage = m_rejectionReason.empty() ? stage() : m_rejectionStage;
    failure.timedOut = timedOut;
    failure.anySent = m_anySent;
    failure.onReusedConnection = m_use.exchange > 1;
    failure.reason = (m_rejectionReason.empty() ? reason : m_rejectionReason) + ", peer "
                     + m_destination.first + ":" + std::to_string(m_destination.second);
    const std::shared_ptr<HttpCall::State> call = std::move(m_call);
    m_call.reset();
    const bool starting = m_isStarting;
    HttpClient::State *client = m_client;
    // This call may destroy the connection, so that no member is used after it.
    reset();
    if (call == nullptr) {
        return;
    }
    if (starting) {
        call->connection = nullptr;
        client->failLater(call, failure);
        return;
    }
    call->fail(failure);
}

void HttpClientConnection::onInputChanged(evbuffer *input, const evbuffer_cb_info *info, void *arg)
{
    HttpClientConnection *self = static_cast<HttpClientConnection *>(arg);
    if (info->n_added == 0 || self->m_closing || self->m_call == nullptr || self->m_headSeen) {
        return;
    }
    std::array<char, 1'024> block;
    evbuffer_ptr from{};
    evbuffer_ptr_set(input, &from, evbuffer_get_length(input) - info->n_added, EVBUFFER_PTR_SET);
    for (std::size_t left = info->n_added; left > 0 && !self->m_scanner.isDone();) {
        const std::size_t n = std::min(left, block.size());
        evbuffer_copyout_from(input, &from, block.data(), n);
        self->m_scanner.read(std::string_view(block.data(), n));
        left -= n;
        if (left > 0) {
            evbuffer_ptr_set(input, &from, n, EVBUFFER_PTR_ADD);
        }
    }
}

void HttpClientConnection::onOutputChanged(evbuffer *output, const evbuffer_cb_info *info,
                                           void *arg)
{
    HttpClientConnection *self = static_cast<HttpClientConnection *>(arg);
    const evutil_socket_t fd = bufferevent_getfd(self->m_bufferEvent);
    if (fd < 0 || self->m_closing || !self->m_peerEnd->isOpen()) {
        // The buffer is also drained once the connection has ended; these bytes were not sent.
        return;
    }
    if (info->n_added > 0 && !self->m_connected) {
        // evhttp writes the request only after the connection has been made.
        self->m_connected = true;
        enableKeepAliveProbes(fd);
    }
    if (info->n_deleted > 0) {
        self->m_anySent = true;
        self->m_allSent = evbuffer_get_length(output) == 0;
        if (!self->m_allSent) {
            self->m_peerEnd->observeSending(self->m_use);
        }
    }
}

int HttpClientConnection::onHead(evhttp_request *request, void *arg)
{
    HttpClientConnection *self = static_cast<HttpClientConnection *>(arg);
    const CallbackScope scope(*self);
    return self->acceptHead(request) ? 0 : -1;
}

bool HttpClientConnection::rejectHead(HttpStage stage, std::string reason)
{
    m_rejectionStage = stage;
    m_rejectionReason = std::move(reason);
    return false;
}

bool HttpClientConnection::acceptHead(evhttp_request *request)
{
    if (m_call == nullptr) {
        return false;
    }
    if (m_scanner.isMalformed()) {
        return rejectHead(HttpStage::AwaitHeaders, "malformed status line");
    }
    const int status = request->response_code;
    if (status >= Continue && status < MinFinalStatus) {
        // evhttp knows no other interim status.
        request->response_code = Continue;
        // evhttp would add the fields to those of the final response.
        evhttp_clear_headers(request->input_headers);
        return ++m_interimHeads <= MaxInterimHeads
               || rejectHead(HttpStage::AwaitHeaders, "too many interim responses");
    }
    if (status < MinFinalStatus || status > MaxStatus) {
        return rejectHead(HttpStage::AwaitHeaders, "unexpected status " + std::to_string(status));
    }
    HttpResponseHead head;
    head.status = status;
    head.headers = copyHeaders(request->input_headers);
    const HttpResponseFraming framing = checkResponseHead(*request, head.headers);
    if (!framing.rejectReason.empty()) {
        return rejectHead(HttpStage::AwaitHeaders, std::string(framing.rejectReason));
    }
    const bool isUnframed = framing.bodyEnd == BodyEnd::ConnectionEnd;
    if (isUnframed && !m_acceptUnframed) {
        return rejectHead(HttpStage::Body, "response has neither Content-Length nor chunked "
                                           "coding, truncation cannot be detected");
    }
    if (isUnframed && m_peerEnd->state() == PeerEndState::Broken) {
        return rejectHead(HttpStage::Body, "response has neither Content-Length nor chunked "
                                           "coding, and its connection did not end in order");
    }
    m_reusable = framing.isKeepAlive && m_peerEnd->isOpen();
    m_idleTimeout = idleTimeoutOf(head.headers);
    m_headSeen = true;
    m_chunked = framing.bodyEnd == BodyEnd::LastChunk;
    if (m_chunked) {
        takeOverBody();
    } else if (isUnframed) {
        m_peerEnd->observeBody();
    }
    const std::shared_ptr<HttpCall::State> call = m_call;
    guarded("HTTP client", [&call, &head] { call->handlers.onHead(head); });
    if (m_call == nullptr) {
        return false;
    }
    if (m_call->paused) {
        pause();
    }
    return true;
}

void HttpClientConnection::takeOverBody()
{
    void *arg = nullptr;
    bufferevent_getcb(m_bufferEvent, &m_evhttpRead, &m_evhttpWrite, &m_evhttpEvent, &arg);
    bufferevent_setcb(m_bufferEvent, onRead, onWrite, onEvent, this);
    m_decoder = ChunkedDecoder();
    evbuffer_drain(m_encodedBody, evbuffer_get_length(m_encodedBody));
    evbuffer_add_buffer(m_encodedBody, bufferevent_get_input(m_bufferEvent));
    deferRead();
}

void HttpClientConnection::deferRead()
{
    m_isReadDeferred = true;
    bufferevent_trigger(m_bufferEvent, EV_READ,
                        BEV_TRIG_IGNORE_WATERMARKS | BEV_TRIG_DEFER_CALLBACKS);
}

void HttpClientConnection::onRead(bufferevent *, void *arg)
{
    HttpClientConnection *self = static_cast<HttpClientConnection *>(arg);
    const CallbackScope scope(*self);
    self->m_isReadDeferred = false;
    if (self->m_call != nullptr && !self->m_call->paused) {
        self->decodeBody();
    }
}

void HttpClientConnection::onWrite(bufferevent *bev, void *arg)
{
    const HttpClientConnection *self = static_cast<HttpClientConnection *>(arg);
    self->m_evhttpWrite(bev, self->m_connection);
}

void HttpClientConnection::onEvent(bufferevent *bev, short what, void *arg)
{
    const HttpClientConnection *self = static_cast<HttpClientConnection *>(arg);
    self->m_evhttpEvent(bev, what, self->m_connection);
}

void HttpClientConnection::decodeBody()
{
    evbuffer_add_buffer(m_encodedBody, bufferevent_get_input(m_bufferEvent));
    const std::shared_ptr<HttpCall::State> call = m_call;
    const ChunkedDecoder::Result result =
            m_decoder.decode(m_encodedBody, [&call](std::string_view data) {
                guarded("HTTP client", [&call, data] { call->handlers.onData(data); });
                return !call->ended && !call->paused;
            });
    if (m_call == nullptr) {
        return;
    }
    if (result == ChunkedDecoder::Result::Malformed) {
        fail(false, "malformed chunked body");
    } else if (result == ChunkedDecoder::Result::Done) {
        m_reusable = m_reusable && evbuffer_get_length(m_encodedBody) == 0;
        // evhttp still expects the end of a chunked body, which completes its request.
        static constexpr std::string_view LastChunk = "0\r\n\r\n";
        evbuffer *end = evbuffer_new();
        evbuffer_add(end, LastChunk.data(), LastChunk.size());
        evbuffer_prepend_buffer(bufferevent_get_input(m_bufferEvent), end);
        evbuffer_free(end);
        bufferevent_setcb(m_bufferEvent, m_evhttpRead, m_evhttpWrite, m_evhttpEvent, m_connection);
        m_evhttpRead(m_bufferEvent, m_connection);
    }
}

void HttpClientConnection::onBodyData(evhttp_request *request, void *arg)
{
    HttpClientConnection *self = static_cast<HttpClientConnection *>(arg);
    const CallbackScope scope(*self);
    const std::shared_ptr<HttpCall::State> call = self->m_call;
    if (call == nullptr) {
        return;
    }
    forEachBlock(request->input_buffer, [&call](std::string_view data) {
        guarded("HTTP client", [&call, data] { call->handlers.onData(data); });
        return !call->ended;
    });
}

void HttpClientConnection::onError(evhttp_request_error error, void *arg)
{
    static_cast<HttpClientConnection *>(arg)->m_error = error;
}

void HttpClientConnection::onDone(evhttp_request *request, void *arg)
{
    HttpClientConnection *self = static_cast<HttpClientConnection *>(arg);
    const CallbackScope scope(*self);
    if (self->m_call == nullptr) {
        return;
    }
    if (request == nullptr) {
        self->fail(self->m_error == EVREQ_HTTP_TIMEOUT, describe(self->m_error));
        return;
    }
    if (!self->m_headSeen) {
        // evhttp reports a failed connection attempt with a request that has no status.
        self->fail(false, "cannot connect");
        return;
    }
    const std::shared_ptr<HttpCall::State> call = std::move(self->m_call);
    self->m_call.reset();
    event_del(self->m_timer);
    if (self->m_reusable && evbuffer_get_length(bufferevent_get_input(self->m_bufferEvent)) == 0) {
        self->m_client->keep(*self);
    } else {
        self->m_client->discard(*self);
    }
    call->complete();
}

void HttpClientConnection::onClosed(evhttp_connection *, void *arg)
{
    HttpClientConnection *self = static_cast<HttpClientConnection *>(arg);
    if (self->m_closing || !self->m_idle) {
        return;
    }
    const CallbackScope scope(*self);
    self->m_client->removeIdle(*self);
    self->m_client->discard(*self);
}

} // namespace Tarragon
