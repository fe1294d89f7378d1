// Calls whose time limits fire late.

#include "Support/CallRecord.h"
#include "Support/LoopDelay.h"
#include "Support/LoopTest.h"
#include "Support/RawListener.h"
#include "net/InputGrace.h"

#include <array>
#include <ostream>
#include <string>

namespace Tarragon {
namespace {

constexpr milliseconds CallTimeout{ 300 };
constexpr milliseconds ConnectTimeout{ 50 };

class LateCallTest : public LoopTest
{
protected:
    HttpRequest request(milliseconds connectTimeout, milliseconds timeout) const
    {
        HttpRequest result;
        result.address = "127.0.0.1";
        result.port = m_listener.port();
        result.connectTimeout = connectTimeout;
        result.timeout = timeout;
        result.acceptUnframed = true;
        return result;
    }

    /// Starts a call and waits until the target has received the request.
    void startCall()
    {
        m_startedAt = m_loop.now();
        m_record.call = m_client.send(request(CallTimeout, CallTimeout), m_record.handlers());
        runUntil([this] { return !m_listener.sockets().empty() && !target().received().empty(); });
    }
    RawSocket &target() { return *m_listener.sockets().front(); }

    /// Runs the call until its end, with a delay beyond its time limit. The bytes arrive during the
    /// delay, followed by the end of the stream if desired.
    void respondDuringDelay(std::string_view bytes, bool isEnded)
    {
        m_delay.delayUntil(m_startedAt + 2 * CallTimeout, [this, bytes, isEnded] {
            target().sendAtOnce(bytes);
            if (isEnded) {
                shutdown(target().descriptor(), SHUT_WR);
            }
        });
        runUntil([this] { return m_record.isEnded(); });
    }

    RawListener m_listener{ m_loop };
    HttpClient m_client{ m_loop };
    LoopDelay m_delay{ m_loop };
    CallRecord m_record;
    MonotonicTime m_startedAt{};
};

struct Framing
{
    const char *name;
    const char *head;
    const char *end;
    bool endsConnection;
};

std::ostream &operator<<(std::ostream &out, const Framing &value)
{
    return out << value.name;
}

class LateResponseTest : public LateCallTest, public testing::WithParamInterface<Framing>
{};

// Guards against a response that is discarded although it arrived in time, because the call's time
// limit fires before the response is read. It is longer than what is read at once.
TEST_P(LateResponseTest, ResponseThatArrivedIsDelivered)
{
    static constexpr std::size_t Length = 50'000;
    startCall();
    const std::string body(Length, 'x');
    respondDuringDelay(GetParam().head + body + GetParam().end, GetParam().endsConnection);
    EXPECT_TRUE(m_record.completed) << (m_record.failure ? m_record.failure->reason : "");
    EXPECT_TRUE(m_record.body == body) << m_record.body.size() << " bytes received";
}

constexpr std::array Framings = {
    Framing{ "Length", "HTTP/1.1 200 OK\r\nContent-Length: 50000\r\n\r\n", "", false },
    Framing{ "Chunked", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nc350\r\n",
             "\r\n0\r\n\r\n", false },
    Framing{ "ConnectionEnd", "HTTP/1.1 200 OK\r\n\r\n", "", true },
};

INSTANTIATE_TEST_SUITE_P(All, LateResponseTest, testing::ValuesIn(Framings),
                         [](const testing::TestParamInfo<Framing> &info) {
                             return std::string(info.param.name);
                         });

// Guards against a response without a length that passes for complete although its connection was
// reset, because the question for input consumed the error.
TEST_F(LateCallTest, ResetDuringDelayIsNoEndOfResponse)
{
    startCall();
    m_delay.delayUntil(m_startedAt + 2 * CallTimeout, [this] {
        target().sendAtOnce("HTTP/1.1 200 OK\r\n\r\nhello");
        target().reset();
    });
    runUntil([this] { return m_record.isEnded(); });
    EXPECT_FALSE(m_record.completed);
}

// Guards against a connection that counts as failed although it was made in time.
TEST_F(LateCallTest, ConnectionMadeDuringDelayCounts)
{
    m_delay.delayUntil(m_loop.now() + 4 * ConnectTimeout, [this] {
        m_record.call = m_client.send(request(ConnectTimeout, seconds(10)), m_record.handlers());
    });
    m_listener.accepted().connect([](RawSocket &socket) {
        socket.dataReceived().connect(
                [&socket] { socket.send("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"); });
    });
    runUntil([this] { return m_record.isEnded(); });
    EXPECT_TRUE(m_record.completed) << (m_record.failure ? m_record.failure->reason : "");
}

// Guards against a request that is sent although the time of the whole call is over.
TEST_F(LateCallTest, RequestIsNotSentAfterTheEndOfItsTime)
{
    m_delay.delayUntil(m_loop.now() + 4 * ConnectTimeout, [this] {
        m_record.call = m_client.send(request(ConnectTimeout, ConnectTimeout), m_record.handlers());
    });
    runUntil([this] { return m_record.isEnded(); });
    ASSERT_TRUE(m_record.failure.has_value());
    EXPECT_TRUE(m_record.failure->timedOut);
    EXPECT_FALSE(m_record.failure->anySent);
    EXPECT_EQ(m_record.failure->stage, HttpStage::Connect);
}

// Guards against a target that extends the limit by half a response head.
TEST_F(LateCallTest, HalfAHeadTimesOut)
{
    startCall();
    respondDuringDelay("HTTP/1.1 200 OK\r\nContent-Len", false);
    ASSERT_TRUE(m_record.failure.has_value());
    EXPECT_TRUE(m_record.failure->timedOut);
    EXPECT_EQ(m_record.failure->stage, HttpStage::AwaitHeaders);
}

// Guards against a target that extends the limit by a response without end.
TEST_F(LateCallTest, EndlessResponseTimesOut)
{
    static constexpr std::size_t BlockBytes = 1'000'000;
    startCall();
    const std::string block(BlockBytes, 'x');
    target().allSent().connect([this, &block] { target().send(block); });
    target().send("HTTP/1.1 200 OK\r\nContent-Length: 1000000000000\r\n\r\n");
    runUntil([this] {
        m_record.body.clear();
        return m_record.isEnded();
    });
    ASSERT_TRUE(m_record.failure.has_value());
    EXPECT_TRUE(m_record.failure->timedOut);
    EXPECT_EQ(m_record.failure->stage, HttpStage::Body);
    EXPECT_LT(m_loop.now() - m_startedAt, 2 * CallTimeout + InputGrace::MaxWait);
}

// Guards against a paused call that outlasts its limit because of input that it does not read.
TEST_F(LateCallTest, PausedCallTimesOutAtOnce)
{
    static constexpr int MaxIterations = 10;
    startCall();
    target().sendAtOnce("HTTP/1.1 200 OK\r\nContent-Length: 100000\r\n\r\n");
    runUntil([this] { return m_record.head.has_value(); });
    m_record.call->pause();
    m_delay.delayUntil(m_startedAt + 2 * CallTimeout,
                       [this] { target().sendAtOnce(std::string(50'000, 'x')); });
    for (int i = 0; i < MaxIterations && !m_record.isEnded(); ++i) {
        event_base_loop(m_loop.base(), EVLOOP_ONCE);
    }
    EXPECT_TRUE(m_record.failure.has_value());
}

} // namespace
} // namespace Tarragon
