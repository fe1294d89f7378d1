#pragma once

#include "net/EventLoop.h"

#include <event2/event.h>
#include <gtest/gtest.h>

namespace Tarragon {

/// Base class of tests that run an event loop until a condition holds.
class LoopTest : public testing::Test
{
protected:
    /// Runs the loop until the condition holds. Fails the test after 20 s, which is longer than any
    /// test waits for an event that does occur.
    template<typename Condition>
    void runUntil(const Condition &condition)
    {
        static constexpr seconds Limit{ 20 };
        bool expired = false;
        const Timer limit = m_loop.schedule(Limit, [&expired] { expired = true; });
        while (!condition() && !expired) {
            event_base_loop(m_loop.base(), EVLOOP_ONCE);
        }
        EXPECT_FALSE(expired) << "the condition did not hold within 20 s";
    }

    /// Runs the loop for the given time. For tests that check that an event does not occur.
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
