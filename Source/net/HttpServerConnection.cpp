#include "net/HttpServerConnection.h"

#include "base/Error.h"
#include "net/ErrorResponse.h"
#include "net/Guard.h"
#include "net/HttpExchangeState.h"
#include "net/HttpServerState.h"
#include "net/HttpStatus.h"
#include "net/HttpSyntax.h"
#include "net/PipelinedRequest.h"
#include "net/SocketQueues.h"

#include <event2/buffer.h>
#include <event2/event.h>
#include <event2/http.h>
#include <event2/http_struct.h>

#include <algorithm>
#include <array>
#include <chrono>
#include <cstdio>
#include <optional>
#include <utility>

#include <sys/socket.h>

namespace Tarragon {

namespace {

/// Maximum input that is buffered beyond the request in progress.
constexpr std::size_t MaxReadAheadBytes = 65'536;
/// Time after the acceptance of a connection within which its first bytes are expected. A round
/// trip between regions takes 50 ms at most; a lost segment is retransmitted after 200 ms, then
/// after 400 ms.
constexpr milliseconds FirstRequestTimeout{ 800 };

/// Throws Error if libevent cannot make a bufferevent.
bufferevent *makeBufferEvent(const EventLoop &loop)
{
    // Without BEV_OPT_CLOSE_ON_FREE, evhttp closes the socket before libevent has removed its
    // events, and the removal could affect a new connection with the same descriptor.
    bufferevent *result = bufferevent_socket_new(loop.base(), -1, BEV_OPT_CLOSE_ON_FREE);
    if (result == nullptr) {
        throw Error("libevent could not make a bufferevent");
    }
    return result;
}

/// Whether evhttp closes the connection after the response to the request.
bool closesConnection(const evhttp_request &request)
{
    const auto hasClose = [](const evkeyvalq *headers) {
        const char *value = evhttp_find_header(headers, "Connection");
        return value != nullptr && hasListToken(value, "close");
    };
    return request.minor == 0 || hasClose(request.input_headers)
           || hasClose(request.output_headers);
}

} // namespace

HttpServerConnection::HttpServerConnection(HttpServer::State &server)
    : m_server(&server)
    , m_bufferEvent(makeBufferEvent(server.loop))
    , m_unread([this](std::size_t added, std::size_t removed) {
        m_account->changeBuffered(added, removed);
    })
    , m_acceptedAt(server.loop.now())
    , m_timeout(sigc::mem_fun(*this, &HttpServerConnection::onTimeout))
    , m_account(std::make_unique<ConnectionAccount>(
              server.budget, m_acceptedAt, sigc::mem_fun(*this, &HttpServerConnection::onEvicted)))
    , m_end(server, m_bufferEvent, *m_account,
            sigc::mem_fun(*this, &HttpServerConnection::closeNow))
{
    m_timer = evtimer_new(server.loop.base(), onTimer, this);
    evbuffer_add_cb(bufferevent_get_input(m_bufferEvent), onInputChanged, this);
    evbuffer_add_cb(bufferevent_get_output(m_bufferEvent), onOutputChanged, this);
    // The input of all connections together must not exceed the budget.
    const MemoryBudgetCounts &counts = server.budget.counts();
    const std::size_t share =
            counts.capacityBytes / std::max<std::size_t>(1, counts.maxConnections);
    const std::size_t readAhead = std::max<std::size_t>(std::min(MaxReadAheadBytes, share),
                                                        server.limits.headerBytes.value * 2);
    bufferevent_setwatermark(m_bufferEvent, EV_READ, 0, readAhead);
    m_account->setProgressQuery([this] {
        const evutil_socket_t fd = bufferevent_getfd(m_bufferEvent);
        return SocketProgress{ hasPeerActed(), unacknowledgedBytes(fd).value_or(0) == 0 };
    });
}

HttpServerConnection::~HttpServerConnection()
{
    event_free(m_timer);
}

void HttpServerConnection::attach()
{
    wrapCallbacks();
    evhttp_connection_set_closecb(m_connection, onClosed, this);
    startTimeout();
    if (m_account->isEvicted()) {
        onEvicted();
    }
}

void HttpServerConnection::wrapCallbacks()
{
    bufferevent_data_cb readCallback = nullptr;
    bufferevent_data_cb writeCallback = nullptr;
    bufferevent_event_cb eventCallback = nullptr;
    void *arg = nullptr;
    bufferevent_getcb(m_bufferEvent, &readCallback, &writeCallback, &eventCallback, &arg);
    if (readCallback == nullptr || readCallback == onRead) {
        return;
    }
    m_evhttpRead = readCallback;
    m_evhttpWrite = writeCallback;
    m_evhttpEvent = eventCallback;
    m_connection = static_cast<evhttp_connection *>(arg);
    bufferevent_setcb(m_bufferEvent, onRead, onWrite, onEvent, this);
}

// evhttp sets its own callbacks again for every request. They are replaced when input arrives,
// before libevent calls them.
void HttpServerConnection::onInputChanged(evbuffer *, const evbuffer_cb_info *info, void *arg)
{
    HttpServerConnection *self = static_cast<HttpServerConnection *>(arg);
    self->m_account->changeBuffered(info->n_added, info->n_deleted);
    if (info->n_added > 0) {
        self->wrapCallbacks();
        if (self->m_phase == Phase::Head) {
            self->m_account->onProgress(self->m_server->loop.now());
        }
        // evhttp removes the read callback while it writes a response.
        if (self->mayReadAhead()) {
            event_active(self->m_timer, EV_TIMEOUT, 0);
        }
    }
}

void HttpServerConnection::onOutputChanged(evbuffer *output, const evbuffer_cb_info *info,
                                           void *arg)
{
    HttpServerConnection *self = static_cast<HttpServerConnection *>(arg);
    self->m_account->changeBuffered(info->n_added, info->n_deleted);
    if (info->n_deleted > 0) {
        self->m_account->onProgress(self->m_server->loop.now());
    }
    self->m_account->setWriting(evbuffer_get_length(output) > 0);
    if (self->m_phase != Phase::Exchange) {
        return;
    }
    if (evbuffer_get_length(output) == 0) {
        self->m_timeout.stop();
    } else if (info->n_deleted > 0 || !self->m_timeout.isRunning()) {
        self->startTimeout();
    }
}

void HttpServerConnection::onRead(bufferevent *, void *arg)
{
    const std::shared_ptr<HttpServerConnection> self =
            static_cast<HttpServerConnection *>(arg)->shared_from_this();
    self->readInput();
}

void HttpServerConnection::onWrite(bufferevent *bev, void *arg)
{
    const HttpServerConnection *self = static_cast<HttpServerConnection *>(arg);
    self->m_evhttpWrite(bev, self->m_connection);
}

void HttpServerConnection::onEvent(bufferevent *bev, short what, void *arg)
{
    const HttpServerConnection *self = static_cast<HttpServerConnection *>(arg);
    self->m_evhttpEvent(bev, what, self->m_connection);
}

void HttpServerConnection::readInput()
{
    if (m_account == nullptr || m_account->isEvicted()) {
        // No request may be passed on any more; the timer closes the connection.
        return;
    }
    switch (m_phase) {
    case Phase::Head:
        if (!m_requestsAhead.isEmpty()) {
            startNextResponse();
            break;
        }
        m_unread.append(bufferevent_get_input(m_bufferEvent));
        readHead();
        break;
    case Phase::Body:
        startTimeout();
        m_unread.append(bufferevent_get_input(m_bufferEvent));
        readBody();
        break;
    case Phase::ChunkedBody:
        startTimeout();
        m_unread.append(bufferevent_get_input(m_bufferEvent));
        readChunkedBody();
        break;
    case Phase::Exchange:
        readAhead();
        break;
    case Phase::Rejected:
    case Phase::BrokenOff:
    case Phase::Closed:
        break;
    }
}

bool HttpServerConnection::mayReadAhead() const
{
    return m_phase == Phase::Exchange && m_isPipelinable && !m_mustWait && !m_isClosing
           && m_server->listening && !m_server->closesAfterResponses && m_requestsAhead.hasRoom();
}

void HttpServerConnection::readAhead()
{
    if (mayReadAhead()) {
        m_unread.append(bufferevent_get_input(m_bufferEvent));
        while (mayReadAhead() && readHeadAhead()) {
        }
    }
}

bool HttpServerConnection::readHeadAhead()
{
    m_unread.skipEmptyLines();
    const RequestHeadExtent extent = m_unread.findHead();
    if (extent.length > m_server->limits.headerBytes.value) {
        m_mustWait = true;
        return false;
    }
    if (!extent.isComplete) {
        return false;
    }
    const std::string_view head = m_unread.front(extent.length);
    std::optional<PipelinedRequest> request;
    if (checkRequestHead(head, m_server->limits.bodyBytes).rejectStatus == 0) {
        request = parsePipelinedRequest(head);
    }
    if (!request.has_value()) {
        // Malformed requests are rejected in their turn as well.
        m_mustWait = true;
        return false;
    }
    m_unread.removeFront(extent.length);
    passAhead(std::move(*request));
    return true;
}

void HttpServerConnection::passAhead(PipelinedRequest request)
{
    char *address = nullptr;
    ev_uint16_t port = 0;
    evhttp_connection_get_peer(m_connection, &address, &port);
    const std::shared_ptr<HeldResponse> response = std::make_shared<HeldResponse>();
    m_requestsAhead.add(response);
    ++m_server->exchangesInProgress;
    const HttpExchangePtr pointer =
            std::make_shared<HttpExchange>(std::make_unique<HttpExchange::State>(
                    shared_from_this(), std::move(request), address, response));
    m_server->handle(pointer);
}

void HttpServerConnection::startNextResponse()
{
    m_nextResponse = m_requestsAhead.takeNext();
    onHeldBytesChanged();
    --m_server->exchangesInProgress;
    if (m_nextResponse->isAborted) {
        m_nextResponse = nullptr;
        keepUnprocessed();
        m_phase = Phase::BrokenOff;
        m_end.setCause(CloseCause::BreakOff);
        closeNow();
        return;
    }
    // evhttp writes a response only to a request that it has read. The exchange has its own copy of
    // the request, so that only the method matters.
    const std::string head = m_nextResponse->method + " / HTTP/1.1\r\nHost: pipelined\r\n\r\n";
    m_unread.prepend(head);
    passToEvhttp(head.size());
}

void HttpServerConnection::readHead()
{
    m_unread.skipEmptyLines();
    if (m_unread.size() == 0) {
        return;
    }
    const bool isFirstPart = !m_unread.hasPartialHead();
    const RequestHeadExtent extent = m_unread.findHead();
    if (extent.length > m_server->limits.headerBytes.value) {
        reject(HttpStatus::HeaderFieldsTooLarge, "request line and header fields above the limit");
        return;
    }
    if (!extent.isComplete) {
        awaitRestOfHead(isFirstPart);
        return;
    }
    const HttpRequestFraming framing =
            checkRequestHead(m_unread.front(extent.length), m_server->limits.bodyBytes);
    if (framing.rejectStatus != 0) {
        reject(framing.rejectStatus, framing.reason);
        return;
    }
    if (!m_account->admitsHead(m_server->loop.now())) {
        rejectForMemory();
        return;
    }
    m_body.reset();
    if (framing.chunked || framing.contentLength > 0) {
        m_body = std::make_shared<RequestBody>(m_server->budget);
    }
    m_decoder = ChunkedDecoder();
    m_bodyLength = framing.contentLength;
    m_phase = framing.chunked ? Phase::ChunkedBody : Phase::Body;
    startTimeout();
    passToEvhttp(extent.length);
    if (m_phase == Phase::ChunkedBody) {
        readChunkedBody();
    } else if (m_phase == Phase::Body) {
        readBody();
    }
}

void HttpServerConnection::readBody()
{
    while (m_body != nullptr && m_body->size() < m_bodyLength) {
        const std::size_t n = std::min(evbuffer_get_contiguous_space(m_unread.buffer()),
                                       m_bodyLength - m_body->size());
        if (n == 0) {
            return;
        }
        if (!storeBody(m_unread.front(n))) {
            return;
        }
        m_unread.removeFront(n);
    }
    if (m_body == nullptr) {
        passToEvhttp(std::size_t(0));
    } else {
        passBodyToEvhttp();
    }
}

bool HttpServerConnection::storeBody(std::string_view data)
{
    const bool isAdmitted =
            m_account->admitsBody(m_body->size() + data.size(), data.size(), m_server->loop.now())
            && guarded("HTTP server", [this, data] { m_body->append(data); });
    if (!isAdmitted) {
        rejectForMemory();
    }
    return isAdmitted;
}

void HttpServerConnection::passBodyToEvhttp()
{
    evbuffer *piece = evbuffer_new();
    addBodyReference(piece, m_body);
    passToEvhttp(piece);
    evbuffer_free(piece);
}

void HttpServerConnection::readChunkedBody()
{
    bool tooLong = false;
    const ChunkedDecoder::Result result =
            m_decoder.decode(m_unread.buffer(), [this, &tooLong](std::string_view data) {
                tooLong = m_body->size() + data.size() > m_server->limits.bodyBytes.value;
                return !tooLong && storeBody(data);
            });
    if (m_phase == Phase::Rejected) {
        return;
    }
    if (tooLong) {
        reject(HttpStatus::ContentTooLarge, "body above the limit");
    } else if (result == ChunkedDecoder::Result::Malformed) {
        reject(HttpStatus::BadRequest, "malformed chunked body");
    } else if (result == ChunkedDecoder::Result::Done) {
        static constexpr std::string_view LastChunk = "0\r\n\r\n";
        m_unread.prepend(LastChunk);
        passToEvhttp(LastChunk.size());
    }
}

void HttpServerConnection::passToEvhttp(std::size_t n)
{
    evbuffer *piece = evbuffer_new();
    evbuffer_remove_buffer(m_unread.buffer(), piece, n);
    passToEvhttp(piece);
    evbuffer_free(piece);
}

void HttpServerConnection::passToEvhttp(evbuffer *piece)
{
    // libevent freezes the end of the input buffer, so that data can only be prepended. The buffer
    // is empty here, so that the order of the bytes does not change.
    evbuffer_prepend_buffer(bufferevent_get_input(m_bufferEvent), piece);
    HttpServer::State *server = m_server;
    HttpServerConnection *previous = server->current;
    server->current = this;
    m_evhttpRead(m_bufferEvent, m_connection);
    server->current = previous;
    readAhead();
}

void HttpServerConnection::onRequest(evhttp_request *request)
{
    m_phase = Phase::Exchange;
    m_timeout.stop();
    m_isCounted = true;
    m_account->setBusy(true);
    m_account->clearBody();
    m_account->onProgress(m_server->loop.now());
    ++m_server->exchangesInProgress;
    // evhttp treats requests with an absolute target as requests to a proxy.
    request->flags &= ~EVHTTP_PROXY_REQUEST;
    if (request->major == 1 && request->minor == 0) {
        // evhttp adds a wrong Content-Length to streamed responses on HTTP/1.0 keep-alive
        // connections.
        evhttp_remove_header(request->input_headers, "Connection");
    }
    m_isPipelinable = isPipelinable(*request);
    evhttp_request_set_on_complete_cb(request, onResponseWritten, this);
    const std::shared_ptr<HttpServerConnection> self = shared_from_this();
    if (m_nextResponse != nullptr) {
        const std::shared_ptr<HeldResponse> response = std::exchange(m_nextResponse, nullptr);
        guarded("HTTP server", [&] { response->deliver(self, request); });
    } else {
        handle(request);
    }
    if (m_phase == Phase::Exchange && exchange != nullptr && !exchange->ended) {
        // evhttp stops reading while a request is in progress and would not detect a disconnect.
        bufferevent_enable(m_bufferEvent, EV_READ);
    }
}

void HttpServerConnection::onHeldBytesChanged()
{
    const std::size_t held = m_requestsAhead.heldBytes();
    m_account->changeBuffered(held, std::exchange(m_countedHeldBytes, held));
}

void HttpServerConnection::handle(evhttp_request *request)
{
    std::unique_ptr<HttpExchange::State> state =
            std::make_unique<HttpExchange::State>(shared_from_this(), request);
    state->requestBody = std::move(m_body);
    m_body.reset();
    exchange = state.get();
    m_server->handle(std::make_shared<HttpExchange>(std::move(state)));
}

void HttpServerConnection::startTimeout()
{
    if (m_phase == Phase::Exchange) {
        m_timeout.start(m_server->writing);
    } else if (m_phase == Phase::Head && m_unread.hasPartialHead()) {
        m_timeout.start(m_server->partialHeads);
    } else {
        m_timeout.start(m_server->idle);
    }
}

void HttpServerConnection::onTimeout()
{
    // The loop may have been held up, so that the peer was in time although nothing was read yet.
    if (hasPeerActed()) {
        startTimeout();
    } else if (m_phase == Phase::Exchange) {
        m_end.reset(CloseCause::Unread);
    } else if (m_phase == Phase::Head && !m_unread.hasPartialHead()) {
        m_end.setCause(CloseCause::Idle);
        closeNow();
    } else {
        rejectOverdue();
    }
}

void HttpServerConnection::rejectOverdue()
{
    reject(HttpStatus::RequestTimeout, m_phase == Phase::Head
                                               ? "request head not complete in time"
                                               : "request body not complete in time");
}

void HttpServerConnection::awaitRestOfHead(bool isFirstPart)
{
    const MonotonicTime now = m_server->loop.now();
    if (isFirstPart) {
        m_headStartedAt = now;
        startTimeout();
    } else if (now - m_headStartedAt > m_server->limits.headerTimeout && !hasUnreadInput()) {
        rejectOverdue();
    }
}

bool HttpServerConnection::mustCloseAfterResponse() const
{
    return m_requestsAhead.isEmpty()
           && (m_isClosing || !m_server->listening || m_server->closesAfterResponses);
}

bool HttpServerConnection::mustStayOpen(MonotonicTime now) const
{
    switch (m_phase) {
    case Phase::Head:
        break;
    case Phase::Body:
    case Phase::ChunkedBody:
    case Phase::Exchange:
    case Phase::Rejected:
    case Phase::BrokenOff:
        return true;
    case Phase::Closed:
        return false;
    }
    if (!m_requestsAhead.isEmpty()) {
        return true;
    }
    if (m_unread.hasPartialHead()) {
        return now - m_headStartedAt <= m_server->limits.headerTimeout || hasUnreadInput();
    }
    const bool isNew = !m_hasResponded && now - m_acceptedAt < FirstRequestTimeout;
    return isNew || m_unread.size() > 0 || hasUnreadInput()
           || unacknowledgedBytes(bufferevent_getfd(m_bufferEvent)).value_or(0) > 0;
}

bool HttpServerConnection::hasPeerActed() const
{
    if (m_phase == Phase::Exchange) {
        return isWritable(bufferevent_getfd(m_bufferEvent));
    }
    const bool isNextRequestRead =
            m_phase == Phase::Head && !m_unread.hasPartialHead() && m_unread.size() > 0;
    return isNextRequestRead || hasUnreadInput();
}

bool HttpServerConnection::hasUnreadInput() const
{
    char ch = 0;
    return evbuffer_get_length(bufferevent_get_input(m_bufferEvent)) > 0
           || recv(bufferevent_getfd(m_bufferEvent), &ch, 1, MSG_PEEK | MSG_DONTWAIT) > 0;
}

void HttpServerConnection::onResponseWritten(evhttp_request *request, void *arg)
{
    HttpServerConnection *self = static_cast<HttpServerConnection *>(arg);
    self->m_isLastResponse = closesConnection(*request);
    if (self->exchange != nullptr) {
        self->exchange->detach();
        self->exchange = nullptr;
    }
    self->uncountExchange();
    self->m_account->setBusy(!self->m_requestsAhead.isEmpty());
    self->m_hasResponded = true;
    self->m_phase = Phase::Head;
    self->m_unread.restartSearch();
    self->m_mustWait = false;
    if (self->m_requestsAhead.isEmpty()) {
        self->startTimeout();
    }
    // evhttp would parse bytes left in the input buffer without the checks of readHead().
    self->m_unread.append(bufferevent_get_input(self->m_bufferEvent));
    if (self->m_unread.size() > 0 || !self->m_requestsAhead.isEmpty()) {
        event_active(self->m_timer, EV_TIMEOUT, 0);
    }
}

void HttpServerConnection::uncountExchange()
{
    if (m_isCounted) {
        m_isCounted = false;
        --m_server->exchangesInProgress;
    }
}

void HttpServerConnection::onTimer(evutil_socket_t, short, void *arg)
{
    const std::shared_ptr<HttpServerConnection> self =
            static_cast<HttpServerConnection *>(arg)->shared_from_this();
    if (self->m_account->isEvicted()) {
        self->keepUnprocessed();
        self->m_end.reset(CloseCause::Eviction);
    } else if (self->m_phase == Phase::Head || self->m_phase == Phase::Exchange) {
        self->readInput();
    }
}

void HttpServerConnection::onEvicted()
{
    if (m_phase == Phase::Body || m_phase == Phase::ChunkedBody) {
        // No part of the request was passed on.
        rejectForMemory();
    } else if (m_connection != nullptr) {
        event_active(m_timer, EV_TIMEOUT, 0);
    }
    // A connection that evhttp has not set up yet is closed by attach().
}

void HttpServerConnection::rejectForMemory()
{
    const milliseconds retryAfter = m_server->budget.retryAfter(m_server->loop.now());
    std::array<char, 64> field{};
    const int length = std::snprintf(field.data(), field.size(), "Retry-After: %.1f\r\n",
                                     inSeconds(retryAfter));
    reject(HttpStatus::ServiceUnavailable, "no memory for the request at present",
           std::string_view(field.data(), std::size_t(length)));
}

void HttpServerConnection::reject(int status, std::string_view reason, std::string_view fields)
{
    m_phase = Phase::Rejected;
    m_account->clearBody();
    m_body.reset();
    dropInput();
    m_end.sendAndClose(errorResponse(status, reason, fields));
}

void HttpServerConnection::breakOff()
{
    if (m_phase == Phase::Closed || m_end.hasBegun()) {
        return;
    }
    keepUnprocessed();
    if (!m_end.resetWhenAcknowledged(CloseCause::BreakOff)) {
        m_end.reset(CloseCause::BreakOff);
        return;
    }
    m_phase = Phase::BrokenOff;
    m_account->setBusy(false);
    dropInput();
    endExchanges(CloseCause::BreakOff);
}

void HttpServerConnection::keepUnprocessed()
{
    if (m_phase == Phase::Head || m_phase == Phase::Exchange) {
        m_end.keepUnprocessed(m_unread.buffer());
        m_end.keepUnprocessed(bufferevent_get_input(m_bufferEvent));
    }
}

void HttpServerConnection::dropInput()
{
    m_timeout.stop();
    // It may have been activated for input that is dropped now.
    event_del(m_timer);
    evbuffer *input = bufferevent_get_input(m_bufferEvent);
    evbuffer_drain(input, evbuffer_get_length(input));
    m_unread.clear();
}

void HttpServerConnection::closeNow()
{
    if (m_phase != Phase::Closed) {
        evhttp_connection_free(m_connection);
    }
}

CloseCause HttpServerConnection::closeCause() const
{
    if (m_end.cause().has_value()) {
        return *m_end.cause();
    }
    if (m_server->isEnding) {
        return CloseCause::ServerEnd;
    }
    // Otherwise evhttp closes connections of its own accord only if the peer has ended them.
    return m_phase == Phase::Head && m_isLastResponse ? CloseCause::Response
                                                      : CloseCause::CallerGone;
}

void HttpServerConnection::endExchanges(CloseCause cause)
{
    uncountExchange();
    m_server->exchangesInProgress -= m_requestsAhead.size();
    HttpExchange::State *state = std::exchange(exchange, nullptr);
    if (state != nullptr) {
        state->onConnectionEnded(cause);
    }
    m_requestsAhead.endAll(cause);
}

void HttpServerConnection::onClosed(evhttp_connection *, void *arg)
{
    const std::shared_ptr<HttpServerConnection> self =
            static_cast<HttpServerConnection *>(arg)->shared_from_this();
    // evhttp still uses the buffers after this object may have been destroyed.
    evbuffer_remove_cb(bufferevent_get_input(self->m_bufferEvent), onInputChanged, self.get());
    evbuffer_remove_cb(bufferevent_get_output(self->m_bufferEvent), onOutputChanged, self.get());
    event_del(self->m_timer);
    self->m_timeout.stop();
    const CloseCause cause = self->closeCause();
    self->keepUnprocessed();
    self->m_end.handOver(cause, std::move(self->m_account));
    self->m_phase = Phase::Closed;
    self->m_server->remove(self.get());
    self->endExchanges(cause);
}

} // namespace Tarragon
