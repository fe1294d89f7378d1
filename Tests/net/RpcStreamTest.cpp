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

/// Longest time that a test lets sockets of its own process work.
constexpr timeval WatchdogTime{ 10, 0 };

/// More bytes than the socket buffers of both ends hold.
constexpr std::size_t LongText = std::size_t{ 8 } * 1024 * 1024;
/// Fewer bytes than they hold.
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
        m_near = kj::heap<RpcStream>(m_base.get(), sockets[0]);
        m_far = kj::heap<RpcStream>(m_base.get(), sockets[1]);
        event_base_once(
                m_base.get(), -1, EV_TIMEOUT,
                [](evutil_socket_t, short, void *) { FAIL() << "a promise was not resolved"; },
                nullptr, &WatchdogTime);
    }

    ~RpcStreamTest() noexcept override = default;

    kj::WaitScope &scope() { return m_runtime.waitScope(); }

    /// Runs what is ready without waiting for events of the far end.
    void settle() { scope().poll(); }

    std::string read(RpcStream &stream, std::size_t size)
    {
        std::string text(size, '\0');
        text.resize(stream.tryRead(text.data(), size, size).wait(scope()));
        return text;
    }

    std::unique_ptr<event_base, void (*)(event_base *)> m_base;
    RpcRuntime m_runtime;
    kj::Own<RpcStream> m_near;
    kj::Own<RpcStream> m_far;
};

TEST_F(RpcStreamTest, TransfersGatheredPiecesInOrder)
{
    const std::string head = "head ";
    const std::string empty;
    const std::string tail = "tail";
    std::vector<kj::ArrayPtr<const kj::byte>> pieces;
    for (const std::string *text : { &head, &empty, &tail })
        pieces.push_back(kj::StringPtr(text->c_str(), text->size()).asBytes());
    m_near->write(kj::arrayPtr(pieces.data(), pieces.size())).wait(scope());
    EXPECT_EQ(read(*m_far, 9), "head tail");
}

// A reader that stops must hold the writer back instead of filling the memory of both ends.
TEST_F(RpcStreamTest, SlowReaderHoldsTheWriterBackWithBoundedBuffers)
{
    const std::string text(LongText, 'x');
    bool written = false;
    kj::Promise<void> write = m_near->write(text.data(), text.size())
                                      .then([&written] { written = true; })
                                      .eagerlyEvaluate(nullptr);
    settle();
    EXPECT_FALSE(written);
    EXPECT_LE(m_near->bufferedOutput(), RpcStream::WriteHighWater);
    EXPECT_LE(m_far->bufferedInput(), RpcStream::ReadHighWater);
    EXPECT_EQ(read(*m_far, text.size()), text);
    write.wait(scope());
    EXPECT_TRUE(written);
}

TEST_F(RpcStreamTest, EndOfInputCompletesAReadWithWhatCame)
{
    m_near->write("abc", 3).wait(scope());
    m_near->shutdownWrite();
    EXPECT_EQ(read(*m_far, 10), "abc");
    EXPECT_EQ(read(*m_far, 10), "");
    // The other direction is still open.
    m_far->write("def", 3).wait(scope());
    EXPECT_EQ(read(*m_near, 3), "def");
}

TEST_F(RpcStreamTest, WriteToAClosedPeerFailsAsDisconnected)
{
    kj::Promise<void> disconnected = m_near->whenWriteDisconnected();
    m_far = nullptr;
    const std::string text(LongText, 'x');
    kj::Maybe<kj::Exception> failure = kj::runCatchingExceptions(
            [&] { m_near->write(text.data(), text.size()).wait(scope()); });
    KJ_IF_MAYBE (e, failure)
        EXPECT_EQ(e->getType(), kj::Exception::Type::DISCONNECTED);
    else
        FAIL() << "the write succeeded";
    disconnected.wait(scope());
}

// A cancelled read must not take bytes that the next read needs.
TEST_F(RpcStreamTest, CancelledReadLeavesLaterBytesToTheNextRead)
{
    char ignored[8] = {};
    {
        kj::Promise<std::size_t> cancelled = m_far->tryRead(ignored, 4, sizeof(ignored));
        settle();
    }
    m_near->write("abcd", 4).wait(scope());
    settle();
    EXPECT_EQ(std::string(ignored), "");
    EXPECT_EQ(read(*m_far, 4), "abcd");
}

// Half a message followed by another one would be taken for garbage by the receiver.
TEST_F(RpcStreamTest, WriteAfterACancelledWriteFails)
{
    {
        const std::string text(LongText, 'x');
        kj::Promise<void> cancelled = m_near->write(text.data(), text.size());
        settle();
    }
    EXPECT_THROW(m_near->write("y", 1).wait(scope()), kj::Exception);
}

TEST_F(RpcStreamTest, DestructionFailsPendingOperations)
{
    const std::string text(LongText, 'x');
    char buffer[4];
    kj::Promise<std::size_t> read = m_near->tryRead(buffer, 4, 4);
    kj::Promise<void> write = m_near->write(text.data(), text.size());
    settle();
    m_near = nullptr;
    EXPECT_THROW(read.wait(scope()), kj::Exception);
    EXPECT_THROW(write.wait(scope()), kj::Exception);
}

TEST_F(RpcStreamTest, ClosingAfterACompletedWriteLosesNothing)
{
    const std::string text(ShortText, 'x');
    m_near->write(text.data(), text.size()).wait(scope());
    m_near = nullptr;
    EXPECT_EQ(read(*m_far, text.size() + 1), text);
}

// A break that reaches libevent between two waits would be lost and the process never stop.
TEST_F(RpcStreamTest, RunEndsWhenTheBaseIsBrokenFromACallbackOrAContinuation)
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
