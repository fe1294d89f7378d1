#include "net/EventLoop.h"

#include "Support/LoopTest.h"

#include <optional>

namespace Tarragon {
namespace {

class EventLoopTest : public LoopTest
{};

// Guards against timers that fire early because libevent measures a delay from the start of the
// loop's iteration instead of from the call of schedule().
TEST_F(EventLoopTest, TimersScheduledInALongCallbackAreNotEarly)
{
    static constexpr milliseconds CallbackDuration{ 20 };
    static constexpr milliseconds Delay{ 20 };
    Timer timer;
    MonotonicTime due;
    std::optional<MonotonicTime> called;
    m_loop.post([&] {
        const MonotonicTime begin = m_loop.now();
        while (m_loop.now() - begin < CallbackDuration) {
        }
        due = m_loop.now() + Delay;
        timer = m_loop.schedule(Delay, [&] { called = m_loop.now(); });
    });
    runUntil([&called] { return called.has_value(); });
    EXPECT_GE(*called, due);
    EXPECT_FALSE(timer.isActive());
}

// Guards against a callback after the timer was cancelled. libevent fires such a timer early, so
// that it is armed again for the remaining time, and it is cancelled meanwhile.
TEST_F(EventLoopTest, RearmedTimersCanBeCancelled)
{
    static constexpr milliseconds CallbackDuration{ 5 };
    Timer timer;
    bool isCalled = false;
    m_loop.post([&] {
        const MonotonicTime begin = m_loop.now();
        while (m_loop.now() - begin < CallbackDuration) {
        }
        timer = m_loop.schedule(CallbackDuration, [&isCalled] { isCalled = true; });
    });
    runFor(milliseconds(1));
    timer.reset();
    runFor(milliseconds(20));
    EXPECT_FALSE(isCalled);
}

} // namespace
} // namespace Tarragon
