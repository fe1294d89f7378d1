#include "net/PeerEnd.h"

#include "net/LogLine.h"

#include <event2/buffer.h>
#include <log4cplus/logger.h>
#include <log4cplus/loggingmacros.h>

#include <cerrno>
#include <string>
#include <system_error>

namespace Tarragon {

namespace {

const log4cplus::Logger &logger()
{
    static const log4cplus::Logger instance = log4cplus::Logger::getInstance("net");
    return instance;
}

} // namespace

PeerEnd::PeerEnd(bufferevent *bev, evhttp_connection *connection)
    : m_bufferEvent(bev)
    , m_connection(connection)
{}

void PeerEnd::observeSending(const ConnectionUse &use)
{
    m_use = use;
    if (saveCallbacks()) {
        // evhttp reads nothing before it has written the request.
        bufferevent_setcb(m_bufferEvent, nullptr, onWrite, onSendEvent, this);
    }
}

void PeerEnd::observeBody()
{
    if (saveCallbacks()) {
        bufferevent_setcb(m_bufferEvent, onRead, onWrite, onBodyEvent, this);
    }
}

bool PeerEnd::saveCallbacks()
{
    void *arg = nullptr;
    Callbacks callbacks;
    bufferevent_getcb(m_bufferEvent, &callbacks.read, &callbacks.write, &callbacks.event, &arg);
    if (arg != m_connection || callbacks.write == nullptr) {
        return false;
    }
    m_evhttp = callbacks;
    return true;
}

void PeerEnd::record(short what)
{
    if (!isOpen()) {
        return;
    }
    if ((what & BEV_EVENT_ERROR) != 0) {
        m_state = PeerEndState::Broken;
    } else if ((what & BEV_EVENT_EOF) != 0) {
        m_state = PeerEndState::Orderly;
    }
}

void PeerEnd::onRead(bufferevent *bev, void *arg)
{
    const PeerEnd *self = static_cast<PeerEnd *>(arg);
    self->m_evhttp.read(bev, self->m_connection);
}

void PeerEnd::onWrite(bufferevent *bev, void *arg)
{
    const PeerEnd *self = static_cast<PeerEnd *>(arg);
    self->m_evhttp.write(bev, self->m_connection);
}

void PeerEnd::onSendEvent(bufferevent *bev, short what, void *arg)
{
    PeerEnd *self = static_cast<PeerEnd *>(arg);
    self->record(what);
    bufferevent_setcb(bev, nullptr, self->m_evhttp.write, self->m_evhttp.event, self->m_connection);
    if (self->isOpen()) {
        self->m_evhttp.event(bev, what, self->m_connection);
        return;
    }
    self->logEndOfUpload(what);
    self->discardOutput();
    // With nothing left to write, evhttp starts to read the response. If there is none, evhttp
    // reads the end of the connection again and reports a failure.
    self->m_evhttp.write(bev, self->m_connection);
}

void PeerEnd::onBodyEvent(bufferevent *bev, short what, void *arg)
{
    PeerEnd *self = static_cast<PeerEnd *>(arg);
    self->record(what);
    // A reset that follows the end of the stream takes nothing from the response.
    if (self->m_state == PeerEndState::Orderly) {
        what = BEV_EVENT_READING | BEV_EVENT_EOF;
    } else if (self->m_state == PeerEndState::Broken) {
        what = BEV_EVENT_READING | BEV_EVENT_ERROR;
    }
    self->m_evhttp.event(bev, what, self->m_connection);
}

void PeerEnd::logEndOfUpload(short what) const
{
    const bool isError = m_state == PeerEndState::Broken;
    const std::string error = isError ? std::generic_category().message(errno) : std::string();
    LOG4CPLUS_INFO(
            logger(),
            LogLine("net", "upload-ended")
                    .add("connection", m_use.connection)
                    .add("exchange", m_use.exchange)
                    .add("by", isError ? "error" : "end-of-stream")
                    .add("during", (what & BEV_EVENT_READING) != 0 ? "read" : "write")
                    .add("error", error)
                    .add("receivedBytes", evbuffer_get_length(bufferevent_get_input(m_bufferEvent)))
                    .text());
}

void PeerEnd::discardOutput()
{
    evbuffer *output = bufferevent_get_output(m_bufferEvent);
    // libevent permits changes of the start only while it writes.
    evbuffer_unfreeze(output, 1);
    evbuffer_drain(output, evbuffer_get_length(output));
    evbuffer_freeze(output, 1);
}

} // namespace Tarragon
