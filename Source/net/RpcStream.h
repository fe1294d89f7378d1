#pragma once

#include <event2/util.h>
#include <kj/async-io.h>

#include <cstddef>

struct bufferevent;
struct event_base;

namespace Tarragon {

/// A connected TCP socket as a kj stream. Once ReadHighWater bytes are buffered without being read,
/// further data stays in the socket, so that TCP flow control slows the sender down. A write
/// completes when the kernel has accepted all of it, and at most WriteHighWater bytes of it are
/// copied at a time. A slow receiver therefore blocks the writer, and closing the stream loses no
/// completed write.
class RpcStream final : public kj::AsyncIoStream
{
public:
    static constexpr std::size_t ReadHighWater = std::size_t{ 64 } * 1024;
    static constexpr std::size_t WriteHighWater = std::size_t{ 64 } * 1024;

    /// Takes ownership of the connected, non-blocking socket. Throws Error if libevent cannot
    /// create a bufferevent for it.
    RpcStream(event_base *base, evutil_socket_t socket);
    /// Pending reads and writes fail with the exception type DISCONNECTED.
    ~RpcStream() noexcept;
    KJ_DISALLOW_COPY(RpcStream);

    kj::Promise<std::size_t> tryRead(void *buffer, std::size_t minBytes,
                                     std::size_t maxBytes) override;
    kj::Promise<void> write(const void *buffer, std::size_t size) override;
    /// Cancelling a write that has begun leaves a truncated message in the stream, so every later
    /// write fails.
    kj::Promise<void> write(kj::ArrayPtr<const kj::ArrayPtr<const kj::byte>> pieces) override;
    kj::Promise<void> whenWriteDisconnected() override;
    void shutdownWrite() override;
    void abortRead() override;
    kj::Maybe<int> getFd() const override;

    /// Returns the number of received bytes that have not been read yet.
    std::size_t bufferedInput() const;
    /// Whether input has arrived that has not been read, in the socket or in the buffer.
    bool hasUnreadInput() const;
    /// Returns the number of bytes of the write in progress that were copied but not sent yet.
    std::size_t bufferedOutput() const;

private:
    class PendingRead;
    class PendingWrite;
    struct Callbacks;

    kj::Promise<void> startWrite(kj::ArrayPtr<const kj::byte> first,
                                 kj::ArrayPtr<const kj::ArrayPtr<const kj::byte>> rest);
    void onReadable();
    void onWritable();
    void onEvent(short what);
    void fail(kj::Exception &&reason);

    bufferevent *m_event = nullptr;
    PendingRead *m_read = nullptr;
    PendingWrite *m_write = nullptr;
    bool m_endOfInput = false;
    bool m_readingPaused = false;
    kj::Maybe<kj::Exception> m_failure;
    kj::Own<kj::PromiseFulfiller<void>> m_disconnect;
    kj::ForkedPromise<void> m_disconnected;
};

} // namespace Tarragon
