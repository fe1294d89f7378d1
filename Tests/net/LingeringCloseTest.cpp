#include "gateway/VirtualLoop.h"
#include "net/LingeringCloseTemplate.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <memory>
#include <optional>
#include <random>
#include <string>

namespace Tarragon {
namespace {

/// A connection in virtual time, as the server's system sees it, and its peer.
struct VirtualConnection
{
    explicit VirtualConnection(VirtualSchedule &virtualSchedule)
        : schedule(virtualSchedule)
        , loop(virtualSchedule)
    {}

    /// The peer acknowledges up to the given number of bytes.
    void acknowledge(std::size_t n)
    {
        n = std::min(n, unacknowledged);
        unacknowledged -= n;
        if (n > 0) {
            lastAcknowledgedAt = loop.now();
        }
        notify();
    }
    void sendInput(std::size_t n)
    {
        if (inputState == InputState::Open) {
            input += n;
            notify();
        }
    }
    void endInput(InputState state)
    {
        inputState = state;
        notify();
    }
    /// Tells the server, as the system does, if it watches for what is possible now.
    void notify()
    {
        const bool canRead = input > 0 || inputState != InputState::Open;
        const bool canWrite = unacknowledged < sendBuffer;
        if ((reads && canRead) || (writes && canWrite)) {
            loop.run(microseconds(0), [this] {
                if (reads || writes) {
                    const sigc::slot<void()> running = callback;
                    running();
                }
            });
        }
    }

    VirtualSchedule &schedule;
    VirtualLoop loop;
    std::size_t sendBuffer = 100'000;
    std::size_t unacknowledged = 0;
    std::size_t input = 0;
    std::size_t discarded = 0;
    InputState inputState = InputState::Open;
    bool isShutDown = false;
    MonotonicTime lastAcknowledgedAt{};
    bool reads = false;
    bool writes = false;
    sigc::slot<void()> callback;
};

class VirtualSocket
{
public:
    explicit VirtualSocket(VirtualConnection &connection)
        : m_connection(&connection)
    {}

    std::optional<std::size_t> write(std::string_view data)
    {
        const std::size_t n =
                std::min(data.size(), m_connection->sendBuffer - m_connection->unacknowledged);
        m_connection->unacknowledged += n;
        return n;
    }
    DiscardedInput discard(std::size_t size)
    {
        const std::size_t n = std::min(size, m_connection->input);
        m_connection->input -= n;
        m_connection->discarded += n;
        return { n, m_connection->input > 0 ? InputState::Open : m_connection->inputState };
    }
    std::optional<std::size_t> unacknowledgedBytes() const { return m_connection->unacknowledged; }
    bool isDisconnected() const { return m_connection->inputState == InputState::Broken; }
    void shutdownSending()
    {
        m_connection->isShutDown = true;
        ++m_connection->unacknowledged;
    }
    void watch(bool reads, bool writes, const sigc::slot<void()> &callback)
    {
        m_connection->reads = reads;
        m_connection->writes = writes;
        m_connection->callback = callback;
        m_connection->notify();
    }

private:
    VirtualConnection *m_connection;
};

/// A lingering close in virtual time that records when and how it ended.
class LingeringCloseTest : public testing::Test
{
protected:
    void start(std::size_t unacknowledged, StreamEnd streamEnd = StreamEnd::Shutdown,
               std::string pending = {})
    {
        m_connection.unacknowledged = unacknowledged;
        m_connection.lastAcknowledgedAt = m_connection.loop.now();
        m_startedAt = m_connection.loop.now();
        m_close = std::make_unique<BasicLingeringClose<VirtualLoop, VirtualSocket>>(
                m_connection.loop, VirtualSocket(m_connection), std::move(pending), streamEnd,
                m_limits, [this](LingerResult result) {
                    m_result = result;
                    m_endedAt = m_connection.loop.now();
                    m_close.reset();
                });
    }
    /// Calls the action every period until the close has ended.
    void every(microseconds period, const std::function<void()> &action)
    {
        m_connection.loop.run(period, [this, period, action] {
            if (!m_result.has_value()) {
                action();
                every(period, action);
            }
        });
    }
    /// Runs until the close has ended. Fails if it does not within the total time and one check.
    void run()
    {
        const microseconds end = m_schedule.now() + m_limits.totalTime + milliseconds(200);
        while (!m_result.has_value() && m_schedule.step(end)) {
        }
        ASSERT_TRUE(m_result.has_value());
    }
    microseconds duration() const { return m_endedAt - m_startedAt; }

    VirtualSchedule m_schedule;
    VirtualConnection m_connection{ m_schedule };
    LingerLimits m_limits;
    std::unique_ptr<BasicLingeringClose<VirtualLoop, VirtualSocket>> m_close;
    std::optional<LingerResult> m_result;
    MonotonicTime m_startedAt;
    MonotonicTime m_endedAt;
};

// Guards against connections that are kept although the peer has read all and closed.
TEST_F(LingeringCloseTest, EndsWhenThePeerHasFinished)
{
    start(50'000);
    every(milliseconds(10), [this] { m_connection.acknowledge(5'000); });
    m_connection.loop.run(milliseconds(40), [this] { m_connection.endInput(InputState::Ended); });
    run();
    EXPECT_EQ(m_result, LingerResult::PeerClosed);
    EXPECT_EQ(m_connection.unacknowledged, 0u);
    EXPECT_LE(duration(), milliseconds(300));
}

// Guards against a limit that cuts a response which its caller reads slowly.
TEST_F(LingeringCloseTest, SlowReaderHasTheTimeItNeeds)
{
    start(100'000);
    every(milliseconds(3'900), [this] { m_connection.acknowledge(8'000); });
    run();
    EXPECT_EQ(m_connection.unacknowledged, 0u);
    EXPECT_EQ(m_result, LingerResult::Acknowledged);
}

// Guards against a peer that keeps a connection by neither reading nor closing.
TEST_F(LingeringCloseTest, PeerThatReadsNothingIsGivenUp)
{
    start(50'000);
    every(milliseconds(1), [this] { m_connection.sendInput(100); });
    run();
    EXPECT_EQ(m_result, LingerResult::Stalled);
    EXPECT_GE(duration(), m_limits.stallTime);
    EXPECT_LE(duration(), m_limits.stallTime + milliseconds(200));
}

// Guards against a peer that keeps a connection by reading single bytes.
TEST_F(LingeringCloseTest, TotalTimeIsLimited)
{
    start(50'000);
    every(milliseconds(100), [this] { m_connection.acknowledge(1); });
    run();
    EXPECT_EQ(m_result, LingerResult::Overdue);
    EXPECT_GE(duration(), m_limits.totalTime);
}

// Guards against a peer that keeps a connection after it has read everything.
TEST_F(LingeringCloseTest, PeerThatDoesNotCloseHasALimitedTime)
{
    start(1'000);
    m_connection.loop.run(milliseconds(50), [this] { m_connection.acknowledge(2'000); });
    run();
    EXPECT_EQ(m_result, LingerResult::Acknowledged);
    EXPECT_GE(duration(), m_limits.closeTime);
    EXPECT_LE(duration(), m_limits.closeTime + milliseconds(300));
}

// Guards against unlimited work for a peer that sends without end.
TEST_F(LingeringCloseTest, DiscardedInputIsLimited)
{
    m_limits.discardedBytes = ByteCount{ 1'000'000 };
    start(50'000);
    every(milliseconds(1), [this] { m_connection.sendInput(100'000); });
    run();
    EXPECT_EQ(m_connection.discarded, 1'000'000u);
    EXPECT_EQ(m_result, LingerResult::Stalled);
}

// Guards against an error response that is shut off before all of it was written.
TEST_F(LingeringCloseTest, PendingBytesAreWrittenBeforeTheEndOfTheStream)
{
    start(m_connection.sendBuffer, StreamEnd::Shutdown, std::string(300, 'e'));
    EXPECT_FALSE(m_connection.isShutDown);
    every(milliseconds(10), [this] {
        EXPECT_LE(m_connection.unacknowledged, m_connection.sendBuffer + 1);
        m_connection.acknowledge(10'000);
    });
    run();
    EXPECT_TRUE(m_connection.isShutDown);
    EXPECT_EQ(m_connection.unacknowledged, 0u);
}

// Guards against a broken-off response that looks complete: nothing but a reset may follow it, as
// soon as the peer has what was written.
TEST_F(LingeringCloseTest, ResetFollowsTheLastAcknowledgement)
{
    start(50'000, StreamEnd::Reset);
    m_connection.loop.run(milliseconds(500), [this] { m_connection.acknowledge(50'000); });
    run();
    EXPECT_FALSE(m_connection.isShutDown);
    EXPECT_EQ(m_result, LingerResult::Acknowledged);
    EXPECT_GE(duration(), milliseconds(500));
    EXPECT_LE(duration(), milliseconds(520));
}

/// Peers that read, pause, send, end their stream and reset at random.
class LingeringCloseSeedTest : public LingeringCloseTest,
                               public testing::WithParamInterface<std::uint32_t>
{
protected:
    std::size_t random(std::size_t least, std::size_t most)
    {
        return std::uniform_int_distribution<std::size_t>(least, most)(m_random);
    }
    microseconds randomTime(std::size_t mostMilliseconds)
    {
        return milliseconds(random(1, mostMilliseconds));
    }
    void read()
    {
        m_connection.loop.run(randomTime(random(0, 3) == 0 ? 5'000 : 200), [this] {
            m_connection.acknowledge(random(0, 20'000));
            read();
        });
    }

    std::mt19937 m_random{ GetParam() };
};

// The invariant of each end of a connection: it is not closed for good while bytes that were
// written are unacknowledged, the connection works, and its linger time has not passed.
TEST_P(LingeringCloseSeedTest, IsNotClosedBeforeAllIsAcknowledgedOrTheTimeHasPassed)
{
    m_limits.discardedBytes = ByteCount{ random(0, 500'000) };
    if (random(0, 9) > 0) {
        read();
    }
    every(randomTime(500), [this] { m_connection.sendInput(random(1, 50'000)); });
    if (random(0, 1) == 0) {
        m_connection.loop.run(randomTime(20'000), [this] {
            m_connection.endInput(random(0, 2) == 0 ? InputState::Broken : InputState::Ended);
        });
    }
    const std::string pending(random(0, 1) * random(1, 400), 'e');
    start(random(0, m_connection.sendBuffer),
          random(0, 1) == 0 ? StreamEnd::Reset : StreamEnd::Shutdown, pending);
    run();
    const bool mayBeUnread =
            m_connection.unacknowledged > 0 && m_connection.inputState != InputState::Broken;
    const bool isStalled = m_endedAt - m_connection.lastAcknowledgedAt >= m_limits.stallTime;
    EXPECT_TRUE(!mayBeUnread || isStalled || duration() >= m_limits.totalTime);
    EXPECT_LE(m_connection.discarded, m_limits.discardedBytes.value);
}

INSTANTIATE_TEST_SUITE_P(Seeds, LingeringCloseSeedTest, testing::Range(1U, 301U));

} // namespace
} // namespace Tarragon
