#pragma once

#include "base/Units.h"
#include "net/ChunkedDecoder.h"
#include "net/HttpExchange.h"
#include "net/HttpServer.h"

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

/// One connection of an HttpServer. Stands between the bufferevent and evhttp's read callback: it
/// checks request heads and decodes chunked bodies before evhttp sees them, and keeps pipelined
/// input away from evhttp while a request is in progress.
class HttpServerConnection : public std::enable_shared_from_this<HttpServerConnection>
{
public:
    explicit HttpServerConnection(HttpServer::State &server);
    ~HttpServerConnection();
    HttpServerConnection(const HttpServerConnection &) = delete;
    HttpServerConnection &operator=(const HttpServerConnection &) = delete;

    bufferevent *bufferEvent() const { return m_bufferEvent; }
    /// Takes over evhttp's callbacks once evhttp has set them.
    void attach();
    /// Makes an exchange of a request that evhttp has read and hands it to the server's handler.
    void onRequest(evhttp_request *request);
    /// Breaks the connection with a reset.
    void reset();
    /// Whether the connection is to be closed after its response.
    bool isServerLeaving() const;
    /// Whether a request has begun to arrive, or may be about to on a new connection, and has not
    /// been answered.
    bool owesAnswer(MonotonicTime now) const;
    /// Lets the idle time count only while the peer does not read, until the response is written.
    void disableIdleTimeout();
    /// Lets the server's present idle time count.
    void waitForRequests();

    /// The exchange in progress, while its owner holds it.
    HttpExchange::State *exchange = nullptr;

private:
    enum class Phase {
        /// Waiting for a complete request head.
        Head,
        /// Waiting for all of a body with a Content-Length.
        Body,
        ChunkedBody,
        /// A request has been handed over; its response has not been written yet.
        Exchange,
        /// An error was sent; input is discarded until the peer has closed.
        Rejected,
        /// evhttp has freed its connection.
        Closed,
    };

    static void onInputChanged(evbuffer *input, const evbuffer_cb_info *info, void *arg);
    static void onRead(bufferevent *bev, void *arg);
    static void onWrite(bufferevent *bev, void *arg);
    static void onEvent(bufferevent *bev, short what, void *arg);
    static void onRejectedRead(bufferevent *bev, void *arg);
    static void onRejectedWrite(bufferevent *bev, void *arg);
    static void onRejectedEvent(bufferevent *bev, short what, void *arg);
    static void onTimer(evutil_socket_t fd, short what, void *arg);
    static void onClosed(evhttp_connection *connection, void *arg);
    static void onResponseWritten(evhttp_request *request, void *arg);

    void wrapCallbacks();
    void readInput();
    /// Moves what has arrived behind the unread bytes.
    void takeInput();
    void readHead();
    void readBody();
    void readChunkedBody();
    /// Lets evhttp read this many of the unread bytes, and no others.
    void passToEvhttp(std::size_t n);
    void reject(int status, std::string_view reason);
    void closeNow();
    void endCount();
    bool hasUnreadInput() const;

    HttpServer::State *m_server;
    bufferevent *m_bufferEvent = nullptr;
    evhttp_connection *m_connection = nullptr;
    bufferevent_data_cb m_evhttpRead = nullptr;
    bufferevent_data_cb m_evhttpWrite = nullptr;
    bufferevent_event_cb m_evhttpEvent = nullptr;
    /// Resumes reading of unread bytes, or ends a rejected connection.
    event *m_timer = nullptr;
    /// All bytes that have been taken from the input buffer and not been read, in the order of
    /// their arrival. What is still in the input buffer comes behind them; evhttp finds there only
    /// what passToEvhttp() has moved.
    evbuffer *m_unread = nullptr;
    Phase m_phase = Phase::Head;
    MonotonicTime m_accepted;
    bool m_hasAnswered = false;
    /// Unread bytes in which no end of the head was found.
    std::size_t m_scanned = 0;
    MonotonicTime m_headStart;
    bool m_counted = false;
    /// The idle time that counts while the peer sends nothing; null during an exchange that waits.
    const timeval *m_idleTimeout = nullptr;
    /// Length of the body behind the head that was read last, if the head states it.
    std::size_t m_bodyLength = 0;
    ChunkedDecoder m_decoder;
    std::string m_chunkedBody;
    bool m_hasChunkedBody = false;
};

} // namespace Tarragon
