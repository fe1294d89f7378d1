#include "net/HttpExchange.h"

#include "base/Error.h"
#include "net/ConnectionCloses.h"
#include "net/Guard.h"
#include "net/HeldResponse.h"
#include "net/HttpExchangeState.h"
#include "net/HttpSyntax.h"
#include "net/PipelinedRequest.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/http.h>
#include <event2/http_struct.h>
#include <event2/keyvalq_struct.h>

#include <utility>

namespace Tarragon {

namespace {

std::string_view methodName(evhttp_cmd_type type)
{
    switch (type) {
    case EVHTTP_REQ_GET:
        return "GET";
    case EVHTTP_REQ_POST:
        return "POST";
    case EVHTTP_REQ_HEAD:
        return "HEAD";
    case EVHTTP_REQ_PUT:
        return "PUT";
    case EVHTTP_REQ_DELETE:
        return "DELETE";
    case EVHTTP_REQ_OPTIONS:
        return "OPTIONS";
    case EVHTTP_REQ_PATCH:
        return "PATCH";
    case EVHTTP_REQ_TRACE:
    case EVHTTP_REQ_CONNECT:
        break;
    }
    return "";
}

bool requestsClose(const HttpHeaders &headers)
{
    return hasListToken(headers.find("Connection").value_or(""), "close");
}

bool hasNoBody(int status)
{
    return status < 200 || status == HTTP_NOCONTENT || status == HTTP_NOTMODIFIED;
}

void emitDrained(const HttpExchange::State &exchange)
{
    const sigc::signal<void()> drained = exchange.drainedSignal;
    guarded("HTTP exchange", [&drained] { drained.emit(); });
}

void onDrained(evhttp_connection *, void *arg)
{
    const std::shared_ptr<HttpServerConnection> connection =
            static_cast<HttpServerConnection *>(arg)->shared_from_this();
    if (connection->exchange != nullptr) {
        emitDrained(*connection->exchange);
    }
}

void sendChunk(const HttpExchange::State &exchange, std::string_view data)
{
    evbuffer *buffer = evbuffer_new();
    evbuffer_add(buffer, data.data(), data.size());
    evhttp_send_reply_chunk_with_cb(exchange.request, buffer, onDrained, exchange.connection.get());
    evbuffer_free(buffer);
}

} // namespace

HttpExchange::State::State(std::shared_ptr<HttpServerConnection> serverConnection,
                           evhttp_request *evhttpRequest)
    : connection(std::move(serverConnection))
    , request(evhttpRequest)
    , chunkedSupported(evhttpRequest->major > 1 || evhttpRequest->minor >= 1)
    , method(methodName(evhttpRequest->type))
{}

HttpExchange::State::State(std::shared_ptr<HttpServerConnection> serverConnection,
                           PipelinedRequest pipelined, std::string address,
                           std::shared_ptr<HeldResponse> heldResponse)
    : connection(std::move(serverConnection))
    , held(std::move(heldResponse))
    , chunkedSupported(true)
    , method(std::move(pipelined.method))
    , requestHeaders(std::move(pipelined.headers))
    , peerAddress(std::move(address))
{
    setTarget(std::move(pipelined.target));
    held->exchange = this;
    held->method = method;
    held->requestId =
            requestHeaders->find(ConnectionCloses::ofProcess().requestIdField()).value_or("");
}

HttpExchange::State::~State()
{
    if (held != nullptr) {
        held->exchange = nullptr;
    }
    if (connection != nullptr && connection->exchange == this) {
        connection->exchange = nullptr;
    }
}

void HttpExchange::State::detach()
{
    if (request == nullptr) {
        return;
    }
    loadTarget();
    loadHeaders();
    peerAddress = request->remote_host;
    request = nullptr;
}

void HttpExchange::State::onConnectionEnded(CloseCause cause)
{
    evhttp_request *freed = request != nullptr && request->evcon == nullptr ? request : nullptr;
    detach();
    if (freed != nullptr) {
        // evhttp has given up ownership of the request because its response was not complete.
        evhttp_request_free(freed);
    }
    if (!std::exchange(ended, true)) {
        endCause = cause;
        const sigc::signal<void()> disconnected = disconnectedSignal;
        guarded("HTTP exchange", [&disconnected] { disconnected.emit(); });
    }
}

void HttpExchange::State::bind(evhttp_request *evhttpRequest)
{
    const std::shared_ptr<HeldResponse> response = std::exchange(held, nullptr);
    request = evhttpRequest;
    connection->exchange = this;
    if (!started) {
        return;
    }
    addHeaders(response->status, response->headers, true);
    evhttp_send_reply_start(request, response->status, nullptr);
    if (response->body.empty()) {
        // The sender may be paused because of the responses that were held with this one.
        emitDrained(*this);
    } else {
        sendChunk(*this, response->body);
    }
}

void HttpExchange::State::holdHead(int status, const HttpHeaders &headers)
{
    checkHeaders(headers);
    bodyless = hasNoBody(status) || method == "HEAD";
    held->status = status;
    held->headers = headers;
    if (requestsClose(headers)) {
        connection->closeAfterRequestsAhead();
    }
}

void HttpExchange::State::loadTarget()
{
    if (!target.has_value() && request != nullptr) {
        setTarget(request->uri);
    }
}

void HttpExchange::State::setTarget(std::string requestTarget)
{
    target = std::move(requestTarget);
    if (!target->starts_with('/')) {
        // Absolute form of the target. checkRequestHead() has checked the authority.
        const std::size_t authority = target->find("://") + 3;
        const std::size_t start = target->find_first_of("/?", authority);
        target = start == std::string::npos ? "/" : target->substr(start);
        if (target->starts_with('?')) {
            target->insert(0, "/");
        }
    }
    path = target->substr(0, target->find('?'));
}

void HttpExchange::State::loadHeaders()
{
    if (!requestHeaders.has_value() && request != nullptr) {
        requestHeaders = copyHeaders(request->input_headers);
    }
}

void HttpExchange::State::addHeaders(int status, const HttpHeaders &headers, bool withLength)
{
    checkHeaders(headers);
    bodyless = hasNoBody(status) || method == "HEAD";
    for (const HttpHeaders::Field &field : headers.fields()) {
        if (equalsIgnoringCase(field.first, "Transfer-Encoding")) {
            continue;
        }
        if (equalsIgnoringCase(field.first, "Content-Length")
            && (!withLength || (hasNoBody(status) && status != HTTP_NOTMODIFIED))) {
            continue;
        }
        evhttp_add_header(request->output_headers, field.first.c_str(), field.second.c_str());
    }
    if (requestsClose(headers)) {
        evhttp_remove_header(request->output_headers, "Connection");
        connection->closeAfterRequestsAhead();
    }
    if (connection->mustCloseAfterResponse()) {
        connection->closeAfterRequestsAhead();
        evhttp_remove_header(request->output_headers, "Connection");
        evhttp_add_header(request->output_headers, "Connection", "close");
    }
}

HttpExchange::HttpExchange(std::unique_ptr<State> state)
    : m_state(std::move(state))
{}

HttpExchange::~HttpExchange()
{
    abort();
}

const std::string &HttpExchange::method() const
{
    return m_state->method;
}

const std::string &HttpExchange::path() const
{
    m_state->loadTarget();
    return m_state->path;
}

const std::string &HttpExchange::uri() const
{
    m_state->loadTarget();
    return *m_state->target;
}

std::string HttpExchange::query(const std::string &name) const
{
    const std::string &target = uri();
    const std::size_t start = target.find('?');
    if (start == std::string::npos) {
        return {};
    }
    std::string_view rest = std::string_view(target).substr(start + 1);
    while (!rest.empty()) {
        const std::string_view pair = rest.substr(0, rest.find('&'));
        rest.remove_prefix(std::min(rest.size(), pair.size() + 1));
        const std::size_t equals = pair.find('=');
        if (percentDecoded(pair.substr(0, equals)) == name) {
            return equals == std::string_view::npos ? std::string()
                                                    : percentDecoded(pair.substr(equals + 1));
        }
    }
    return {};
}

const HttpHeaders &HttpExchange::headers() const
{
    m_state->loadHeaders();
    return *m_state->requestHeaders;
}

std::string_view HttpExchange::body() const
{
    return m_state->requestBody == nullptr ? std::string_view() : m_state->requestBody->view();
}

std::shared_ptr<const RequestBody> HttpExchange::sharedBody() const
{
    return m_state->requestBody;
}

const std::string &HttpExchange::remoteAddress() const
{
    if (!m_state->peerAddress.has_value()) {
        m_state->peerAddress = m_state->request->remote_host;
    }
    return *m_state->peerAddress;
}

bool HttpExchange::supportsChunked() const
{
    return m_state->chunkedSupported;
}

void HttpExchange::reply(int status, const HttpHeaders &headers, std::string_view body)
{
    if (m_state->ended) {
        return;
    }
    if (m_state->started) {
        throw Error("reply() called after startReply()");
    }
    if (m_state->held != nullptr) {
        m_state->holdHead(status, headers);
        m_state->held->body = body;
        m_state->connection->onHeldBytesChanged();
        m_state->started = true;
        m_state->ended = true;
        return;
    }
    // evhttp adds a Content-Length for the body in its output buffer. Only a response to HEAD or
    // with status 304 may state the length of a body that is not sent.
    const bool lengthOfHead = m_state->method == "HEAD" && body.empty();
    m_state->addHeaders(status, headers, lengthOfHead || status == HTTP_NOTMODIFIED);
    evhttp_request *request = m_state->request;
    if (m_state->bodyless && !hasNoBody(status) && !body.empty()) {
        evhttp_add_header(request->output_headers, "Content-Length",
                          std::to_string(body.size()).c_str());
    }
    if (!m_state->bodyless) {
        evbuffer_add(request->output_buffer, body.data(), body.size());
    }
    m_state->started = true;
    m_state->ended = true;
    evhttp_send_reply(request, status, nullptr, nullptr);
}

void HttpExchange::startReply(int status, const HttpHeaders &headers)
{
    if (m_state->ended) {
        return;
    }
    if (m_state->started) {
        throw Error("startReply() called for a response that has started already");
    }
    const std::optional<std::string> length = headers.find("Content-Length");
    std::optional<std::uint64_t> remaining;
    if (length.has_value()) {
        remaining = parseContentLength(*length);
        if (!remaining.has_value()) {
            throw Error("Content-Length of a response is \"" + *length
                        + "\", expected up to 18 digits");
        }
    }
    if (m_state->held != nullptr) {
        m_state->holdHead(status, headers);
        m_state->held->isStreamed = true;
        m_state->remaining = remaining;
        m_state->started = true;
        return;
    }
    m_state->addHeaders(status, headers, true);
    m_state->remaining = remaining;
    m_state->started = true;
    evhttp_send_reply_start(m_state->request, status, nullptr);
}

void HttpExchange::send(std::string_view data)
{
    if (m_state->ended) {
        return;
    }
    if (!m_state->started) {
        throw Error("send() called before startReply()");
    }
    if (m_state->bodyless || data.empty()) {
        return;
    }
    if (m_state->remaining.has_value()) {
        if (data.size() > *m_state->remaining) {
            abort();
            throw Error("response is longer than its Content-Length");
        }
        *m_state->remaining -= data.size();
    }
    if (m_state->held != nullptr) {
        m_state->held->body.append(data);
        m_state->connection->onHeldBytesChanged();
        return;
    }
    sendChunk(*m_state, data);
}

std::size_t HttpExchange::bufferedBytes() const
{
    if (m_state->held != nullptr) {
        return m_state->connection->heldBytes();
    }
    if (m_state->request == nullptr) {
        return 0;
    }
    return evbuffer_get_length(bufferevent_get_output(m_state->connection->bufferEvent()));
}

void HttpExchange::finish()
{
    if (m_state->ended) {
        return;
    }
    if (!m_state->started) {
        throw Error("finish() called before startReply()");
    }
    if (!m_state->bodyless && m_state->remaining.value_or(0) > 0) {
        abort();
        throw Error("response is shorter than its Content-Length");
    }
    m_state->ended = true;
    if (m_state->held == nullptr) {
        evhttp_send_reply_end(m_state->request);
    }
}

void HttpExchange::abort()
{
    if (std::exchange(m_state->ended, true)) {
        return;
    }
    if (m_state->held != nullptr) {
        m_state->held->isAborted = true;
        m_state->held->body = std::string();
        return;
    }
    const std::shared_ptr<HttpServerConnection> connection = m_state->connection;
    connection->breakOff();
}

void HttpExchange::fail(const std::string &reason)
{
    if (isEnded()) {
        return;
    }
    m_state->endCause = CloseCause::HandlerFailed;
    m_state->failure = reason;
    const sigc::signal<void()> disconnected = m_state->disconnectedSignal;
    if (disconnected.empty()) {
        const std::string &field = ConnectionCloses::ofProcess().requestIdField();
        ConnectionCloses::logHandlerFailure(headers().find(field).value_or(""), reason);
    }
    abort();
    guarded("HTTP exchange", [&disconnected] { disconnected.emit(); });
}

bool HttpExchange::isEnded() const
{
    return m_state->ended;
}

CloseCause HttpExchange::endCause() const
{
    return m_state->endCause;
}

const std::string &HttpExchange::failure() const
{
    return m_state->failure;
}

sigc::signal<void()> &HttpExchange::disconnected()
{
    return m_state->disconnectedSignal;
}

sigc::signal<void()> &HttpExchange::drained()
{
    return m_state->drainedSignal;
}

} // namespace Tarragon
