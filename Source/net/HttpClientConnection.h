#pragma once

#include "base/Units.h"
#include "net/ChunkedDecoder.h"
#include "net/HttpCall.h"
#include "net/HttpClient.h"

#include <event2/bufferevent.h>
#include <event2/http.h>
#include <event2/util.h>

#include <memory>
#include <string>
#include <utility>

struct evbuffer;
struct evbuffer_cb_info;
struct event;

namespace Tarragon {

/// One connection of an HttpClient; it runs one call at a time. evhttp connects, writes the request
/// and reads the head and bodies with a Content-Length; chunked bodies are decoded here.
class HttpClientConnection
{
public:
    using Destination = std::pair<std::string, std::uint16_t>;

    HttpClientConnection(HttpClient::State &client, Destination destination);
    ~HttpClientConnection();
    HttpClientConnection(const HttpClientConnection &) = delete;
    HttpClientConnection &operator=(const HttpClientConnection &) = delete;

    const Destination &destination() const { return m_destination; }
    void start(const HttpRequest &request, evhttp_cmd_type method,
               std::shared_ptr<HttpCall::State> call);
    /// Drops the call and closes the connection.
    void abandon();
    void pause();
    void resume();
    /// Lets no other call use the connection. To be called once the head has come.
    void closeAfterResponse() { m_reusable = false; }
    /// Waits for a next call for a limited time.
    void becomeIdle();
    /// Whether an idle connection can take a call: the peer has neither closed it nor sent
    /// anything.
    bool isUsable() const;
    /// Whether a callback of evhttp is running.
    bool isInCallback() const { return m_depth > 0; }

private:
    class CallbackScope;

    static void onOutputChanged(evbuffer *output, const evbuffer_cb_info *info, void *arg);
    static int onHead(evhttp_request *request, void *arg);
    static void onBodyData(evhttp_request *request, void *arg);
    static void onError(evhttp_request_error error, void *arg);
    static void onDone(evhttp_request *request, void *arg);
    static void onClosed(evhttp_connection *connection, void *arg);
    static void onTimer(evutil_socket_t fd, short what, void *arg);
    static void onRead(bufferevent *bev, void *arg);
    static void onWrite(bufferevent *bev, void *arg);
    static void onEvent(bufferevent *bev, short what, void *arg);

    static void onSendEvent(bufferevent *bev, short what, void *arg);

    void watchSending();
    void readEarlyResponse();
    bool acceptHead(evhttp_request *request);
    bool rejectHead(HttpStage stage, std::string reason);
    void takeOverBody();
    void decodeBody();
    void timeOut();
    void fail(bool timedOut, const std::string &reason);
    HttpStage stage() const;
    void armTimer(microseconds delay);

    HttpClient::State *m_client;
    Destination m_destination;
    bufferevent *m_bufferEvent = nullptr;
    evhttp_connection *m_connection = nullptr;
    event *m_timer = nullptr;
    bufferevent_data_cb m_evhttpRead = nullptr;
    bufferevent_data_cb m_evhttpWrite = nullptr;
    bufferevent_event_cb m_evhttpEvent = nullptr;
    int m_depth = 0;
    bool m_idle = false;
    bool m_connected = false;
    bool m_used = false;
    bool m_closing = false;

    std::shared_ptr<HttpCall::State> m_call;
    MonotonicTime m_deadline;
    bool m_starting = false;
    bool m_kept = false;
    bool m_anySent = false;
    bool m_allSent = false;
    /// Whether the connection broke before all of the request was sent.
    bool m_sendBroken = false;
    bool m_headSeen = false;
    /// Interim responses to the request in progress.
    int m_interimHeads = 0;
    bool m_reusable = false;
    bool m_chunked = false;
    bool m_acceptUnframed = false;
    /// Time that the connection may stay idle.
    microseconds m_idleTime{ 0 };
    HttpStage m_rejectStage = HttpStage::AwaitHeaders;
    std::string m_rejectReason;
    evhttp_request_error m_error = EVREQ_HTTP_EOF;
    ChunkedDecoder m_decoder;
    /// Body bytes before decoding.
    evbuffer *m_raw = nullptr;
};

} // namespace Tarragon
