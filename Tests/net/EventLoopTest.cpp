#include "net/EventLoop.h"

#include "Support/LoopTest.h"

#include <optional>

namespace Tarragon {
namespace {

class EventLoopTest : public LoopTest
{};

// Guards against deadlines and pauses that end early because libevent counts a delay from the begin
// of the loop's turn and not from the call.
TEST_F(EventLoopTest, TimersOfALongTurnAreNotEarly)
{
    static constexpr milliseconds TurnLength{ 20 };
    static constexpr milliseconds Delay{ 20 };
    Timer timer;
    MonotonicTime due;
    std::optional<MonotonicTime> called;
    m_loop.post([&] {
        const MonotonicTime begin = m_loop.now();
        while (m_loop.now() - begin < TurnLength) {
        }
        due = m_loop.now() + Delay;
        timer = m_loop.schedule(Delay, [&] { called = m_loop.now(); });
    });
    runUntil([&called] { return called.has_value(); });
    EXPECT_GE(*called, due);
    EXPECT_FALSE(timer.isActive());
}

// Guards against a timer that calls back after it was cancelled while it waited for its rest.
TEST_F(EventLoopTest, TimersThatWereEarlyCanBeCancelled)
{
    static constexpr milliseconds TurnLength{ 5 };
    Timer timer;
    bool isCalled = false;
    m_loop.post([&] {
        const MonotonicTime begin = m_loop.now();
        while (m_loop.now() - begin < TurnLength) {
        }
        timer = m_loop.schedule(TurnLength, [&isCalled] { isCalled = true; });
    });
    runFor(milliseconds(1));
    timer.reset();
    runFor(milliseconds(20));
    EXPECT_FALSE(isCalled);
}

} // namespace
} // namespace Tarragon
