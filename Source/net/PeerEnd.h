#pragma once

#include "net/HttpCall.h"

#include <event2/bufferevent.h>

struct evhttp_connection;

namespace Tarragon {

/// How a peer has ended its direction of a connection, as far as this process has observed.
enum class PeerEndState {
    Open,
    /// By the end of its stream.
    Orderly,
    /// By a reset, or by another error of the connection.
    Broken,
};

/// Keeps how the peer of an HttpClientConnection has ended the connection, and reports that to
/// evhttp. The system reports an error once, to whichever read or write is first; a later read
/// returns the end of the stream, as after an orderly end. evhttp reads again after a failed write
/// and could take that for the end of a response that ends with its connection.
class PeerEnd
{
public:
    /// Both must outlive this object.
    PeerEnd(bufferevent *bev, evhttp_connection *connection);
    PeerEnd(const PeerEnd &) = delete;
    PeerEnd &operator=(const PeerEnd &) = delete;

    PeerEndState state() const { return m_state; }
    bool isOpen() const { return m_state == PeerEndState::Open; }
    /// Intercepts evhttp's callbacks while a request is being written. A server may respond and end
    /// its stream before it has read the whole request, for example with 413; evhttp would report
    /// that as a failure and discard the response. The rest of the request is discarded instead,
    /// and evhttp reads the response. The use is logged with the end.
    void observeSending(const ConnectionUse &use);
    /// Intercepts evhttp's callbacks while it reads a body that ends with the connection, from the
    /// header callback on.
    void observeBody();

private:
    /// Callbacks of evhttp that are called in turn.
    struct Callbacks
    {
        bufferevent_data_cb read = nullptr;
        bufferevent_data_cb write = nullptr;
        bufferevent_event_cb event = nullptr;
    };

    static void onRead(bufferevent *bev, void *arg);
    static void onWrite(bufferevent *bev, void *arg);
    static void onSendEvent(bufferevent *bev, short what, void *arg);
    static void onBodyEvent(bufferevent *bev, short what, void *arg);

    /// Saves evhttp's callbacks. Returns false if they are replaced already.
    bool saveCallbacks();
    /// Records an end or an error, unless an earlier one is known.
    void record(short what);
    void logEndOfUpload(short what) const;
    void discardOutput();

    bufferevent *m_bufferEvent;
    evhttp_connection *m_connection;
    ConnectionUse m_use;
    Callbacks m_evhttp;
    PeerEndState m_state = PeerEndState::Open;
};

} // namespace Tarragon
