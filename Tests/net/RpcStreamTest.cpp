#include "net/RpcStream.h"
#include "net/RpcRuntime.h"

#include <event2/event.h>
#include <gtest/gtest.h>
#include <sys/socket.h>

#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace Tarragon {
namespace {

/// Time after which a test fails because a promise was not resolved.
constexpr timeval WatchdogTimeout{ 10, 0 };

/// More bytes than fit into the socket buffers of both ends.
constexpr std::size_t LongText = std::size_t{ 8 } * 1024 * 1024;
/// Fewer bytes than fit into the socket buffers.
constexpr std::size_t ShortText = std::size_t{ 32 } * 1024;

class RpcStreamTest : public testing::Test
{
protected:
    RpcStreamTest()
        : m_base(event_base_new(), &event_base_free)
        , m_runtime(m_base.get())
    {
        int sockets[2];
        EXPECT_EQ(::socketpair(AF_UNIX, SOCK_STREAM | SOCK_NONBLOCK, 0, sockets), 0);
        m_local = kj::heap<RpcStream>(m_base.get(), sockets[0]);
        m_remote = kj::heap<RpcStream>(m_base.get(), sockets[1]);
        event_base_once(
                m_base.get(), -1, EV_TIMEOUT,
                [](evutil_socket_t, short, void *) { FAIL() << "a promise was not resolved"; },
                nullptr, &WatchdogTimeout);
    }

    ~RpcStreamTest() noexcept override = default;

    kj::WaitScope &scope() { return m_runtime.waitScope(); }

    /// Runs ready events and continuations without waiting for further events.
    void runReadyEvents() { scope().poll(); }

    std::string read(RpcStream &stream, std::size_t size)
    {
        std::string text(size, '\0');
        text.resize(stream.tryRead(text.data(), size, size).wait(scope()));
        return text;
    }

    std::unique_ptr<event_base, void (*)(event_base *)> m_base;
    RpcRuntime m_runtime;
    kj::Own<RpcStream> m_local;
    kj::Own<RpcStream> m_remote;
};

TEST_F(RpcStreamTest, TransfersGatheredPiecesInOrder)
{
    const std::string head = "head ";
    const std::string empty;
    const std::string tail = "tail";
    std::vector<kj::ArrayPtr<const kj::byte>> pieces;
    for (const std::string *text : { &head, &empty, &tail })
        pieces.push_back(kj::StringPtr(text->c_str(), text->size()).asBytes());
    m_local->write(kj::arrayPtr(pieces.data(), pieces.size())).wait(scope());
    EXPECT_EQ(read(*m_remote, 9), "head tail");
}

// Guards against time limits that end although input waits in the socket or in the buffer.
TEST_F(RpcStreamTest, ReportsUnreadInputInSocketAndBuffer)
{
    EXPECT_FALSE(m_local->hasUnreadInput());
    m_remote->write("ab", 2).wait(scope());
    EXPECT_TRUE(m_local->hasUnreadInput());
    EXPECT_EQ(m_local->bufferedInput(), 0u);
    EXPECT_EQ(read(*m_local, 1), "a");
    EXPECT_EQ(m_local->bufferedInput(), 1u);
    EXPECT_TRUE(m_local->hasUnreadInput());
    EXPECT_EQ(read(*m_local, 1), "b");
    EXPECT_FALSE(m_local->hasUnreadInput());
}

// Guards against unbounded buffers: a reader that stops must block the writer instead of filling
// the memory of both ends.
TEST_F(RpcStreamTest, SlowReaderBlocksTheWriterWithBoundedBuffers)
{
    const std::string text(LongText, 'x');
    bool written = false;
    kj::Promise<void> write = m_local->write(text.data(), text.size())
                                      .then([&written] { written = true; })
                                      .eagerlyEvaluate(nullptr);
    runReadyEvents();
    EXPECT_FALSE(written);
    EXPECT_LE(m_local->bufferedOutput(), RpcStream::WriteHighWater);
    EXPECT_LE(m_remote->bufferedInput(), RpcStream::ReadHighWater);
    EXPECT_EQ(read(*m_remote, text.size()), text);
    write.wait(scope());
    EXPECT_TRUE(written);
}

TEST_F(RpcStreamTest, EndOfInputCompletesAReadWithTheBytesReceived)
{
    m_local->write("abc", 3).wait(scope());
    m_local->shutdownWrite();
    EXPECT_EQ(read(*m_remote, 10), "abc");
    EXPECT_EQ(read(*m_remote, 10), "");
    // The other direction is still open.
    m_remote->write("def", 3).wait(scope());
    EXPECT_EQ(read(*m_local, 3), "def");
}

TEST_F(RpcStreamTest, WriteToAClosedPeerFailsAsDisconnected)
{
    kj::Promise<void> disconnected = m_local->whenWriteDisconnected();
    m_remote = nullptr;
    const std::string text(LongText, 'x');
    kj::Maybe<kj::Exception> failure = kj::runCatchingExceptions(
            [&] { m_local->write(text.data(), text.size()).wait(scope()); });
    KJ_IF_MAYBE (e, failure)
        EXPECT_EQ(e->getType(), kj::Exception::Type::DISCONNECTED);
    else
        FAIL() << "the write succeeded";
    disconnected.wait(scope());
}

// Guards against a cancelled read that still consumes bytes, which the next read would miss.
TEST_F(RpcStreamTest, CancelledReadLeavesLaterBytesToTheNextRead)
{
    char ignored[8] = {};
    {
        kj::Promise<std::size_t> cancelled = m_remote->tryRead(ignored, 4, sizeof(ignored));
        runReadyEvents();
    }
    m_local->write("abcd", 4).wait(scope());
    runReadyEvents();
    EXPECT_EQ(std::string(ignored), "");
    EXPECT_EQ(read(*m_remote, 4), "abcd");
}

// Guards against a truncated message followed by another one, which the receiver would parse as
// malformed input.
TEST_F(RpcStreamTest, WriteAfterACancelledWriteFails)
{
    {
        const std::string text(LongText, 'x');
        kj::Promise<void> cancelled = m_local->write(text.data(), text.size());
        runReadyEvents();
    }
    EXPECT_THROW(m_local->write("y", 1).wait(scope()), kj::Exception);
}

TEST_F(RpcStreamTest, DestructionFailsPendingOperations)
{
    const std::string text(LongText, 'x');
    char buffer[4];
    kj::Promise<std::size_t> read = m_local->tryRead(buffer, 4, 4);
    kj::Promise<void> write = m_local->write(text.data(), text.size());
    runReadyEvents();
    m_local = nullptr;
    EXPECT_THROW(read.wait(scope()), kj::Exception);
    EXPECT_THROW(write.wait(scope()), kj::Exception);
}

TEST_F(RpcStreamTest, ClosingAfterACompletedWriteLosesNothing)
{
    const std::string text(ShortText, 'x');
    m_local->write(text.data(), text.size()).wait(scope());
    m_local = nullptr;
    EXPECT_EQ(read(*m_remote, text.size() + 1), text);
}

// Guards against a break requested between two waits on the libevent base being lost, so that the
// process would never stop.
TEST_F(RpcStreamTest, RunEndsOnLoopBreakFromACallbackOrAContinuation)
{
    const timeval soon{ 0, 1000 };
    event_base_once(
            m_base.get(), -1, EV_TIMEOUT,
            [](evutil_socket_t, short, void *base) {
                event_base_loopbreak(static_cast<event_base *>(base));
            },
            m_base.get(), &soon);
    m_runtime.run();

    kj::Promise<void> task =
            kj::evalLater([this] { event_base_loopbreak(m_base.get()); }).eagerlyEvaluate(nullptr);
    m_runtime.run();
}

TEST_F(RpcStreamTest, RunEndsOnStop)
{
    kj::Promise<void> task = kj::evalLater([this] { m_runtime.stop(); }).eagerlyEvaluate(nullptr);
    m_runtime.run();
}

} // namespace
} // namespace Tarragon
