#include "net/RpcStream.h"

#include "base/Error.h"
#include "net/SocketQueues.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <kj/debug.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <sys/uio.h>

#include <algorithm>
#include <cerrno>
#include <cstdint>
#include <cstring>

namespace Tarragon {

namespace {

using Piece = kj::ArrayPtr<const kj::byte>;
using Pieces = kj::ArrayPtr<const Piece>;

/// Maximum number of buffers passed to the kernel in one system call.
constexpr std::size_t MaxVectors = 64;

/// Maximum number of bytes read from the socket in one system call.
constexpr std::size_t MaxSingleRead = std::size_t{ 16 } * 1024;

kj::Exception disconnectedBy(const char *operation, int code)
{
    return KJ_EXCEPTION(DISCONNECTED, "connection failed", operation, std::strerror(code));
}

/// The part of a gathered write that has not been sent. The pieces are owned by the caller of
/// write() and stay valid until the write completes or is cancelled.
class Remainder
{
public:
    Remainder(Piece first, Pieces rest)
        : m_first(first)
        , m_rest(rest)
    {
        skip(0);
    }

    bool isEmpty() const { return m_first.size() == 0; }
    Piece first() const { return m_first; }

    std::size_t fill(iovec *vectors, std::size_t max) const
    {
        std::size_t n = 0;
        const auto add = [&](Piece piece) {
            vectors[n].iov_base = const_cast<kj::byte *>(piece.begin());
            vectors[n].iov_len = piece.size();
            ++n;
        };
        if (m_first.size() > 0)
            add(m_first);
        for (std::size_t i = 0; i < m_rest.size() && n < max; ++i)
            add(m_rest[i]);
        return n;
    }

    void skip(std::size_t count)
    {
        while (true) {
            const std::size_t n = std::min(count, m_first.size());
            m_first = m_first.slice(n, m_first.size());
            count -= n;
            if (m_first.size() > 0 || m_rest.size() == 0)
                return;
            m_first = m_rest[0];
            m_rest = m_rest.slice(1, m_rest.size());
        }
    }

private:
    Piece m_first;
    Pieces m_rest;
};

/// Writes to the socket as much as possible without blocking. Returns 0, or the errno of a failure.
int sendDirectly(evutil_socket_t socket, Remainder &remainder)
{
    while (!remainder.isEmpty()) {
        iovec vectors[MaxVectors];
        msghdr message{};
        message.msg_iov = vectors;
        message.msg_iovlen = remainder.fill(vectors, MaxVectors);
        const ssize_t sent = ::sendmsg(socket, &message, MSG_NOSIGNAL);
        if (sent >= 0) {
            remainder.skip(static_cast<std::size_t>(sent));
            continue;
        }
        if (errno == EINTR)
            continue;
        if (errno == EAGAIN || errno == EWOULDBLOCK)
            return 0;
        return errno;
    }
    return 0;
}

} // namespace

class RpcStream::PendingRead
{
public:
    PendingRead(kj::PromiseFulfiller<std::size_t> &fulfiller, RpcStream &stream, void *buffer,
                std::size_t done, std::size_t minBytes, std::size_t maxBytes)
        : m_fulfiller(fulfiller)
        , m_stream(&stream)
        , m_buffer(static_cast<kj::byte *>(buffer))
        , m_done(done)
        , m_min(minBytes)
        , m_max(maxBytes)
    {
        stream.m_read = this;
    }
    ~PendingRead() noexcept { detach(); }
    KJ_DISALLOW_COPY(PendingRead);

    void readFrom(evbuffer *input, bool endOfInput)
    {
        const int n = evbuffer_remove(input, m_buffer + m_done, m_max - m_done);
        if (n > 0)
            m_done += static_cast<std::size_t>(n);
        if (m_done < m_min && !endOfInput)
            return;
        detach();
        m_fulfiller.fulfill(kj::cp(m_done));
    }
    void reject(const kj::Exception &reason)
    {
        detach();
        m_fulfiller.reject(kj::cp(reason));
    }

private:
    void detach()
    {
        if (m_stream != nullptr)
            m_stream->m_read = nullptr;
        m_stream = nullptr;
    }

    kj::PromiseFulfiller<std::size_t> &m_fulfiller;
    RpcStream *m_stream;
    kj::byte *m_buffer;
    std::size_t m_done;
    std::size_t m_min;
    std::size_t m_max;
};

class RpcStream::PendingWrite
{
public:
    PendingWrite(kj::PromiseFulfiller<void> &fulfiller, RpcStream &stream,
                 const Remainder &remainder)
        : m_fulfiller(fulfiller)
        , m_stream(&stream)
        , m_remainder(remainder)
    {
        stream.m_write = this;
        advance();
    }
    ~PendingWrite() noexcept
    {
        if (m_stream == nullptr)
            return;
        RpcStream *stream = m_stream;
        detach();
        if (stream->m_failure == nullptr)
            stream->m_failure = KJ_EXCEPTION(DISCONNECTED, "an earlier write was cancelled");
    }
    KJ_DISALLOW_COPY(PendingWrite);

    void advance()
    {
        evbuffer *output = bufferevent_get_output(m_stream->m_event);
        std::size_t buffered = evbuffer_get_length(output);
        while (!m_remainder.isEmpty() && buffered < WriteHighWater) {
            const Piece piece = m_remainder.first();
            const std::size_t n = std::min(piece.size(), WriteHighWater - buffered);
            if (evbuffer_add(output, piece.begin(), n) != 0) {
                m_stream->fail(disconnectedBy("buffering", ENOMEM));
                return;
            }
            m_remainder.skip(n);
            buffered += n;
        }
        if (!m_remainder.isEmpty() || buffered > 0)
            return;
        detach();
        m_fulfiller.fulfill();
    }
    void reject(const kj::Exception &reason)
    {
        detach();
        m_fulfiller.reject(kj::cp(reason));
    }

private:
    void detach()
    {
        if (m_stream != nullptr)
            m_stream->m_write = nullptr;
        m_stream = nullptr;
    }

    kj::PromiseFulfiller<void> &m_fulfiller;
    RpcStream *m_stream;
    Remainder m_remainder;
};

struct RpcStream::Callbacks
{
    static void readable(bufferevent *, void *self)
    {
        static_cast<RpcStream *>(self)->onReadable();
    }
    static void writable(bufferevent *, void *self)
    {
        static_cast<RpcStream *>(self)->onWritable();
    }
    static void event(bufferevent *, short what, void *self)
    {
        static_cast<RpcStream *>(self)->onEvent(what);
    }
};

RpcStream::RpcStream(event_base *base, evutil_socket_t socket)
    : m_disconnected(nullptr)
{
    kj::PromiseFulfillerPair<void> disconnect = kj::newPromiseAndFulfiller<void>();
    m_disconnect = kj::mv(disconnect.fulfiller);
    m_disconnected = disconnect.promise.fork();
    m_event = bufferevent_socket_new(base, socket, BEV_OPT_CLOSE_ON_FREE);
    if (m_event == nullptr) {
        evutil_closesocket(socket);
        throw Error("RPC: libevent cannot make a buffer for a connection");
    }
    // Messages are small and the peer waits for each, so Nagle's algorithm must not delay them.
    const int on = 1;
    ::setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    bufferevent_setcb(m_event, &Callbacks::readable, &Callbacks::writable, &Callbacks::event, this);
    bufferevent_set_max_single_read(m_event, MaxSingleRead);
    bufferevent_setwatermark(m_event, EV_WRITE, WriteHighWater / 2, 0);
    bufferevent_enable(m_event, EV_READ | EV_WRITE);
}

RpcStream::~RpcStream() noexcept
{
    bufferevent_setcb(m_event, nullptr, nullptr, nullptr, nullptr);
    fail(KJ_EXCEPTION(DISCONNECTED, "the stream was closed"));
    bufferevent_free(m_event);
}

kj::Promise<std::size_t> RpcStream::tryRead(void *buffer, std::size_t minBytes,
                                            std::size_t maxBytes)
{
    KJ_REQUIRE(m_read == nullptr, "a read is already in progress");
    const int n = evbuffer_remove(bufferevent_get_input(m_event), buffer, maxBytes);
    const std::size_t done = n > 0 ? static_cast<std::size_t>(n) : 0;
    if (m_readingPaused && !m_endOfInput && bufferedInput() + MaxSingleRead <= ReadHighWater) {
        m_readingPaused = false;
        bufferevent_enable(m_event, EV_READ);
    }
    if (done >= minBytes || m_endOfInput)
        return done;
    KJ_IF_MAYBE (failure, m_failure)
        return kj::cp(*failure);
    return kj::newAdaptedPromise<std::size_t, PendingRead>(*this, buffer, done, minBytes, maxBytes);
}

kj::Promise<void> RpcStream::write(const void *buffer, std::size_t size)
{
    const Piece piece(static_cast<const kj::byte *>(buffer), size);
    // startWrite() copies the piece, which only refers to the caller's buffer; the local may go.
    return startWrite(piece, nullptr);
}

kj::Promise<void> RpcStream::write(kj::ArrayPtr<const kj::ArrayPtr<const kj::byte>> pieces)
{
    return startWrite(nullptr, pieces);
}

kj::Promise<void> RpcStream::startWrite(Piece first, Pieces rest)
{
    KJ_REQUIRE(m_write == nullptr, "a write is already in progress");
    KJ_IF_MAYBE (failure, m_failure)
        return kj::cp(*failure);
    Remainder remainder(first, rest);
    const int code = sendDirectly(bufferevent_getfd(m_event), remainder);
    if (code != 0) {
        kj::Exception reason = disconnectedBy("sending", code);
        fail(kj::cp(reason));
        return reason;
    }
    if (remainder.isEmpty())
        return kj::READY_NOW;
    return kj::newAdaptedPromise<void, PendingWrite>(*this, remainder);
}

kj::Promise<void> RpcStream::whenWriteDisconnected()
{
    return m_disconnected.addBranch();
}

void RpcStream::shutdownWrite()
{
    KJ_REQUIRE(m_write == nullptr, "a write is still in progress");
    ::shutdown(bufferevent_getfd(m_event), SHUT_WR);
}

void RpcStream::abortRead()
{
    m_endOfInput = true;
    bufferevent_disable(m_event, EV_READ);
    ::shutdown(bufferevent_getfd(m_event), SHUT_RD);
    onReadable();
}

kj::Maybe<int> RpcStream::getFd() const
{
    return static_cast<int>(bufferevent_getfd(m_event));
}

std::size_t RpcStream::bufferedInput() const
{
    return evbuffer_get_length(bufferevent_get_input(m_event));
}

bool RpcStream::hasUnreadInput() const
{
    return bufferedInput() > 0 || unreadBytes(bufferevent_getfd(m_event)).value_or(0) > 0;
}

std::size_t RpcStream::bufferedOutput() const
{
    return evbuffer_get_length(bufferevent_get_output(m_event));
}

void RpcStream::onReadable()
{
    if (m_read != nullptr)
        m_read->readFrom(bufferevent_get_input(m_event), m_endOfInput);
    // Reading is disabled here because libevent's own high-water mark for reading would call this
    // callback again and again while no read is pending.
    if (!m_readingPaused && bufferedInput() + MaxSingleRead > ReadHighWater) {
        m_readingPaused = true;
        bufferevent_disable(m_event, EV_READ);
    }
}

void RpcStream::onWritable()
{
    if (m_write != nullptr)
        m_write->advance();
}

void RpcStream::onEvent(short what)
{
    if ((what & BEV_EVENT_EOF) != 0 && (what & BEV_EVENT_READING) != 0) {
        m_endOfInput = true;
        onReadable();
        return;
    }
    fail(disconnectedBy("transfer", EVUTIL_SOCKET_ERROR()));
}

void RpcStream::fail(kj::Exception &&reason)
{
    if (m_read != nullptr)
        m_read->reject(reason);
    if (m_write != nullptr)
        m_write->reject(reason);
    m_disconnect->fulfill();
    if (m_failure == nullptr)
        m_failure = kj::mv(reason);
}

} // namespace Tarragon
