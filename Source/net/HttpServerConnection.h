#pragma once

#include "base/Units.h"
#include "net/ChunkedDecoder.h"
#include "net/ConnectionAccount.h"
#include "net/ConnectionCloses.h"
#include "net/ConnectionEnd.h"
#include "net/HttpExchange.h"
#include "net/HttpServer.h"
#include "net/RequestBody.h"
#include "net/RequestsAhead.h"
#include "net/TimeoutQueue.h"
#include "net/UnparsedInput.h"

#include <event2/bufferevent.h>
#include <event2/util.h>

#include <memory>
#include <string>
#include <string_view>

struct evbuffer;
struct evbuffer_cb_info;
struct event;
struct evhttp_connection;
struct evhttp_request;

namespace Tarragon {

struct PipelinedRequest;

/// One connection of an HttpServer. It intercepts input between the bufferevent and evhttp's read
/// callback: it checks request heads and decodes chunked bodies before evhttp reads them, and
/// withholds pipelined input from evhttp while a request is in progress. GET and HEAD requests
/// behind a GET or HEAD request in progress are passed to the handler at once; evhttp gets a
/// substitute for each of them when its response can be written.
class HttpServerConnection : public std::enable_shared_from_this<HttpServerConnection>
{
public:
    explicit HttpServerConnection(HttpServer::State &server);
    ~HttpServerConnection();
    HttpServerConnection(const HttpServerConnection &) = delete;
    HttpServerConnection &operator=(const HttpServerConnection &) = delete;

    bufferevent *bufferEvent() const { return m_bufferEvent; }
    /// Replaces evhttp's callbacks by those of this class, once evhttp has set them.
    void attach();
    /// Creates an exchange for a request that evhttp has read and passes it to the server's
    /// handler. If the request stands for one of the requests ahead, delivers its response.
    void onRequest(evhttp_request *request);
    /// Closes the connection because the response in progress cannot be completed. The peer sees a
    /// TCP reset once it has acknowledged what was written before.
    void breakOff();
    /// Whether the connection must be closed after the response that is about to start.
    bool mustCloseAfterResponse() const;
    /// Passes no further request to the handler, and closes the connection after the responses to
    /// those that were passed on.
    void closeAfterRequestsAhead() { m_isClosing = true; }
    /// Returns the number of bytes of responses that wait for the responses before them.
    std::size_t heldBytes() const { return m_requestsAhead.heldBytes(); }
    /// Counts the held responses towards the memory budget.
    void onHeldBytesChanged();
    /// Whether a request without a complete response has begun to arrive or may still be in transit
    /// because the connection is new, or the peer has not acknowledged all responses.
    bool mustStayOpen(MonotonicTime now) const;

    /// The exchange in progress; null if there is none or its HttpExchange was destroyed.
    HttpExchange::State *exchange = nullptr;

private:
    enum class Phase {
        /// Waiting for a complete request head.
        Head,
        /// Waiting for all of a body with a Content-Length.
        Body,
        ChunkedBody,
        /// A request was passed to the handler; its response has not been written yet.
        Exchange,
        /// An error response is being sent; m_end closes the connection.
        Rejected,
        /// The response in progress could not be completed; m_end closes the connection.
        BrokenOff,
        /// evhttp has freed its connection.
        Closed,
    };

    static void onInputChanged(evbuffer *input, const evbuffer_cb_info *info, void *arg);
    static void onOutputChanged(evbuffer *output, const evbuffer_cb_info *info, void *arg);
    static void onRead(bufferevent *bev, void *arg);
    static void onWrite(bufferevent *bev, void *arg);
    static void onEvent(bufferevent *bev, short what, void *arg);
    static void onTimer(evutil_socket_t fd, short what, void *arg);
    static void onClosed(evhttp_connection *connection, void *arg);
    static void onResponseWritten(evhttp_request *request, void *arg);

    void wrapCallbacks();
    /// Passes a request that evhttp has read to the server's handler.
    void handle(evhttp_request *request);
    void readInput();
    /// Passes complete requests behind the one in progress to the handler, as far as they need not
    /// wait.
    void readAhead();
    bool mayReadAhead() const;
    /// Passes the head at the start of m_unread to the handler if it is complete. Returns whether
    /// the next one may be read.
    bool readHeadAhead();
    void passAhead(PipelinedRequest request);
    /// Makes evhttp write the response to the first of the requests ahead.
    void startNextResponse();
    /// Removes all input that has not been read by evhttp.
    void dropInput();
    void readHead();
    void readBody();
    void readChunkedBody();
    /// Makes evhttp read the first n bytes of m_unread, and no others.
    void passToEvhttp(std::size_t n);
    /// Makes evhttp read the buffer's contents.
    void passToEvhttp(evbuffer *piece);
    /// Makes evhttp read the complete body, without a copy.
    void passBodyToEvhttp();
    /// Appends to the body being received. Rejects the request if there is no room, and returns
    /// whether there was.
    bool storeBody(std::string_view data);
    /// Closes the connection because the memory or the descriptor is needed for others.
    void onEvicted();
    /// Rejects a request because there is no memory for it.
    void rejectForMemory();
    /// Sends an error response, then discards input and closes the connection.
    void reject(int status, std::string_view reason, std::string_view fields = {});
    /// Makes evhttp close the connection.
    void closeNow();
    /// Returns why the connection is being closed.
    CloseCause closeCause() const;
    /// Ends the exchange in progress and the requests ahead because the connection is closed.
    void endExchanges(CloseCause cause);
    /// Records the input that no handler gets.
    void keepUnprocessed();
    /// Subtracts the exchange from the server's exchangesInProgress, if it was counted.
    void uncountExchange();
    bool hasUnreadInput() const;
    /// Whether the peer has done what is awaited, and it has not been processed yet.
    bool hasPeerActed() const;
    /// Waits for the peer, with the time limit for what it is to do next.
    void startTimeout();
    /// Ends the connection unless the peer has done in time what was awaited.
    void onTimeout();
    void awaitRestOfHead(bool isFirstPart);
    /// Rejects a request that has not arrived in time.
    void rejectOverdue();

    HttpServer::State *m_server;
    bufferevent *m_bufferEvent = nullptr;
    evhttp_connection *m_connection = nullptr;
    bufferevent_data_cb m_evhttpRead = nullptr;
    bufferevent_data_cb m_evhttpWrite = nullptr;
    bufferevent_event_cb m_evhttpEvent = nullptr;
    /// Resumes reading of m_unread, or closes an evicted connection.
    event *m_timer = nullptr;
    /// Bytes that were removed from the input buffer and have not been parsed, in the order of
    /// their arrival. Bytes still in the input buffer arrived after them. evhttp finds in the input
    /// buffer only what passToEvhttp() has moved there.
    UnparsedInput m_unread;
    Phase m_phase = Phase::Head;
    MonotonicTime m_acceptedAt;
    bool m_hasResponded = false;
    /// Whether the response that was written last announced the end of the connection.
    bool m_isLastResponse = false;
    RequestsAhead m_requestsAhead;
    /// Size of the held responses that was last counted towards the memory budget.
    std::size_t m_countedHeldBytes = 0;
    /// The held response for which evhttp is given a substitute request; null outside of that.
    std::shared_ptr<HeldResponse> m_nextResponse;
    /// Whether requests behind the one in progress may be processed before it is answered.
    bool m_isPipelinable = false;
    /// Whether the next request must wait for the responses to those before it.
    bool m_mustWait = false;
    /// Whether no further request is passed to the handler.
    bool m_isClosing = false;
    MonotonicTime m_headStartedAt;
    bool m_isCounted = false;
    /// Running while the peer is awaited.
    TimeoutQueue::Member m_timeout;
    /// Content-Length of the request whose head was read last; 0 if the head has none.
    std::size_t m_bodyLength = 0;
    ChunkedDecoder m_decoder;
    /// The body being received; null if the request has none.
    std::shared_ptr<RequestBody> m_body;
    /// Null once the connection has ended.
    std::unique_ptr<ConnectionAccount> m_account;
    ConnectionEnd m_end;
};

} // namespace Tarragon
