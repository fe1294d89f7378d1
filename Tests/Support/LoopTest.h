#pragma once

#include "net/EventLoop.h"

#include <event2/event.h>
#include <gtest/gtest.h>

namespace Tarragon {

/// Base of tests that run an event loop until a condition holds.
class LoopTest : public testing::Test
{
protected:
    /// Runs the loop until the condition holds. Fails the test after 20 s; no test waits that long
    /// unless the awaited event is missing.
    template<typename Condition>
    void runUntil(const Condition &condition)
    {
        static constexpr seconds Limit{ 20 };
        bool expired = false;
        const Timer limit = m_loop.schedule(Limit, [&expired] { expired = true; });
        while (!condition() && !expired) {
            event_base_loop(m_loop.base(), EVLOOP_ONCE);
        }
        EXPECT_FALSE(expired) << "the awaited event did not come";
    }

    /// Runs the loop until no event is pending any more but timers and idle sockets: a timer of the
    /// given time passes. For events that must not come.
    void runFor(microseconds time)
    {
        bool expired = false;
        const Timer timer = m_loop.schedule(time, [&expired] { expired = true; });
        while (!expired) {
            event_base_loop(m_loop.base(), EVLOOP_ONCE);
        }
    }

    EventLoop m_loop;
};

} // namespace Tarragon
