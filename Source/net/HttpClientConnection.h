#pragma once

#include "base/Ids.h"
#include "base/Units.h"
#include "net/ChunkedDecoder.h"
#include "net/HttpCall.h"
#include "net/HttpClient.h"
#include "net/InputGrace.h"
#include "net/PeerEnd.h"
#include "net/ResponseHeadScanner.h"

#include <event2/bufferevent.h>
#include <event2/http.h>
#include <event2/util.h>

#include <memory>
#include <string>
#include <utility>
#include <vector>

struct evbuffer;
struct evbuffer_cb_info;
struct event;

namespace Tarragon {

/// One connection of an HttpClient, which runs one call at a time. evhttp connects, writes the
/// request, and reads the response head and bodies with a Content-Length. This class decodes
/// chunked bodies.
class HttpClientConnection
{
public:
    using Destination = std::pair<std::string, std::uint16_t>;

    HttpClientConnection(HttpClient::State &client, ConnectionNumber number,
                         Destination destination);
    ~HttpClientConnection();
    HttpClientConnection(const HttpClientConnection &) = delete;
    HttpClientConnection &operator=(const HttpClientConnection &) = delete;

    const Destination &destination() const { return m_destination; }
    void start(const HttpRequest &request, evhttp_cmd_type method,
               std::shared_ptr<HttpCall::State> call);
    /// Cancels the call without calling its handlers and closes the connection.
    void abandon();
    void pause();
    void resume();
    /// Prevents reuse of the connection after this call. Must be called after the response head has
    /// been received, which resets this choice.
    void closeAfterResponse() { m_reusable = false; }
    /// Prevents calls with the id of the current one from using the connection after it. The ids
    /// are never forgotten; when their number reaches its bound, the connection is closed after the
    /// response.
    void excludeId();
    bool isExcluded(const RequestId &id) const;
    /// Keeps the connection open for another call until its idle timeout.
    void becomeIdle();
    /// Whether an idle connection can be reused: the peer has neither closed it nor sent anything,
    /// and its last response is not older than `maxIdleTime`.
    bool isUsable(microseconds maxIdleTime) const;
    /// Whether input of the call has arrived that was not processed, and reading is not paused.
    bool hasUnreadInput() const;
    /// Whether a callback of evhttp is running.
    bool isInCallback() const { return m_callbackDepth > 0; }

private:
    class CallbackScope;

    static void onInputChanged(evbuffer *input, const evbuffer_cb_info *info, void *arg);
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

    bool acceptHead(evhttp_request *request);
    bool rejectHead(HttpStage stage, std::string reason);
    /// Replaces evhttp's callbacks, so that this class reads a chunked body.
    void takeOverBody();
    /// Decodes what was received of a chunked body in a later callback.
    void deferRead();
    void decodeBody();
    void timeOut();
    void fail(bool timedOut, const std::string &reason);
    /// Ends the connection with a reset. May destroy this object.
    void reset();
    HttpStage stage() const;
    void armTimer(microseconds delay);

    HttpClient::State *m_client;
    Destination m_destination;
    bufferevent *m_bufferEvent = nullptr;
    evhttp_connection *m_connection = nullptr;
    std::unique_ptr<PeerEnd> m_peerEnd;
    event *m_timer = nullptr;
    bufferevent_data_cb m_evhttpRead = nullptr;
    bufferevent_data_cb m_evhttpWrite = nullptr;
    bufferevent_event_cb m_evhttpEvent = nullptr;
    int m_callbackDepth = 0;
    bool m_idle = false;
    MonotonicTime m_idleSince;
    bool m_connected = false;
    /// Hashes of the ids of requests that must not use the connection. Different ids with the same
    /// hash only cost a new connection.
    std::vector<std::uint64_t> m_excludedIds;
    /// The exchange in progress, or the last one.
    ConnectionUse m_use;
    bool m_closing = false;

    std::shared_ptr<HttpCall::State> m_call;
    RequestId m_requestId;
    MonotonicTime m_deadline;
    InputGrace m_inputGrace;
    bool m_isStarting = false;
    bool m_anySent = false;
    bool m_allSent = false;
    bool m_headSeen = false;
    /// Number of interim responses (status 100) to the request in progress.
    int m_interimHeads = 0;
    /// Sees the bytes of a response before evhttp does.
    ResponseHeadScanner m_scanner;
    bool m_reusable = false;
    bool m_chunked = false;
    bool m_isReadDeferred = false;
    bool m_acceptUnframed = false;
    /// Time after which the connection is closed while idle.
    microseconds m_idleTimeout{ 0 };
    HttpStage m_rejectionStage = HttpStage::AwaitHeaders;
    std::string m_rejectionReason;
    evhttp_request_error m_error = EVREQ_HTTP_EOF;
    ChunkedDecoder m_decoder;
    /// Received bytes of a chunked body that have not been decoded.
    evbuffer *m_encodedBody = nullptr;
};

} // namespace Tarragon
