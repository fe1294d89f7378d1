#include "Support/FirstSeed.h"
#include "Support/LoopTest.h"
#include "gateway/VirtualLoop.h"
#include "net/TimeoutQueueTemplate.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <functional>
#include <memory>
#include <optional>
#include <random>
#include <stdexcept>
#include <vector>

namespace Tarragon {
namespace {

using Queue = BasicTimeoutQueue<VirtualLoop>;

constexpr seconds Duration{ 20 };
constexpr milliseconds Granularity{ 10 };

/// A queue in virtual time whose members record when they time out.
class TimeoutQueueTest : public testing::Test
{
protected:
    struct Waiting
    {
        explicit Waiting(VirtualLoop &loop)
            : member([this, &loop] { timedOutAt = loop.now(); })
        {}
        Queue::Member member;
        std::optional<MonotonicTime> timedOutAt;
    };

    Waiting &add()
    {
        m_waiting.push_back(std::make_unique<Waiting>(m_loop));
        m_waiting.back()->member.start(m_queue);
        return *m_waiting.back();
    }
    /// Runs for the time, and calls the check after each event.
    void runFor(
            microseconds time, const std::function<void()> &check = [] {})
    {
        const microseconds end = m_schedule.now() + time;
        m_schedule.after(time, [] {});
        while (m_schedule.now() < end && !HasFatalFailure()) {
            m_schedule.step(end);
            check();
        }
    }
    /// Checks that a member has timed out at the given time after the start of the test.
    void expectTimeout(const Waiting &waiting, microseconds time) const
    {
        ASSERT_TRUE(waiting.timedOutAt.has_value());
        EXPECT_GE(*waiting.timedOutAt, m_startedAt + time);
        EXPECT_LE(*waiting.timedOutAt, m_startedAt + time + Granularity);
    }

    VirtualSchedule m_schedule;
    VirtualLoop m_loop{ m_schedule };
    MonotonicTime m_startedAt = m_loop.now();
    Queue m_queue{ m_loop, Duration };
    std::vector<std::unique_ptr<Waiting>> m_waiting;
};

// Guards against members that time out early, late or not at all, and against one that was
// restarted or stopped timing out all the same.
TEST_F(TimeoutQueueTest, MembersTimeOutAfterTheDuration)
{
    Waiting &first = add();
    runFor(seconds(5));
    Waiting &restarted = add();
    Waiting &stopped = add();
    runFor(seconds(5));
    restarted.member.start(m_queue);
    stopped.member.stop();
    runFor(seconds(60));
    expectTimeout(first, seconds(20));
    expectTimeout(restarted, seconds(30));
    EXPECT_FALSE(stopped.timedOutAt.has_value());
    EXPECT_EQ(m_queue.size(), 0u);
}

// Guards against a raised duration that does not hold for members that are running already.
TEST_F(TimeoutQueueTest, RaisedDurationHoldsForRunningMembers)
{
    const Waiting &waiting = add();
    runFor(Duration - milliseconds(1));
    m_queue.setDuration(Duration * 3);
    runFor(Duration * 4);
    expectTimeout(waiting, Duration * 3);
}

// Guards against a reduced duration that ends the time of a peer which goes by the one before, and
// against one that does not hold for members that are started after the change.
TEST_F(TimeoutQueueTest, ReducedDurationHoldsForMembersThatAreStartedLater)
{
    const Waiting &earlier = add();
    runFor(seconds(12));
    m_queue.setDuration(seconds(2));
    const Waiting &later = add();
    runFor(seconds(60));
    expectTimeout(earlier, seconds(20));
    expectTimeout(later, seconds(14));
}

// Guards against a timer that waits for a member with a later deadline.
TEST_F(TimeoutQueueTest, MemberUnderAReducedDurationIsNotDelayedByOthers)
{
    add();
    m_queue.setDuration(seconds(1));
    const Waiting &waiting = add();
    runFor(seconds(2));
    expectTimeout(waiting, seconds(1));
}

// Guards against many timeouts at once that hold up the loop.
TEST_F(TimeoutQueueTest, TimeoutsAreSpreadOverIterations)
{
    for (std::size_t i = 0; i < 10 * Queue::MaxTimeoutsAtOnce; ++i) {
        add();
    }
    std::size_t previous = 0;
    std::size_t largest = 0;
    while (m_queue.size() > 0) {
        m_schedule.step(microseconds::max());
        const std::size_t timedOut =
                std::size_t(std::count_if(m_waiting.begin(), m_waiting.end(), [](const auto &it) {
                    return it->timedOutAt.has_value();
                }));
        largest = std::max(largest, timedOut - previous);
        previous = timedOut;
    }
    EXPECT_EQ(largest, Queue::MaxTimeoutsAtOnce);
    EXPECT_EQ(previous, m_waiting.size());
}

// Guards against members that destroy each other, and against a queue that is destroyed first.
TEST_F(TimeoutQueueTest, MembersMayDestroyOthersAndOutliveTheQueue)
{
    std::unique_ptr<Queue> queue = std::make_unique<Queue>(m_loop, Duration);
    std::unique_ptr<Queue::Member> other =
            std::make_unique<Queue::Member>([] { FAIL() << "it was destroyed"; });
    Queue::Member member([&other] { other.reset(); });
    member.start(*queue);
    other->start(*queue);
    runFor(Duration + Granularity);
    EXPECT_EQ(other, nullptr);
    member.start(*queue);
    queue.reset();
    EXPECT_FALSE(member.isRunning());
}

class TimeoutQueueSeedTest : public TimeoutQueueTest, public testing::WithParamInterface<int>
{};

// Guards against a storm of changes by which a member times out before the longest of the durations
// that were in force while it was running, or stays for longer.
TEST_P(TimeoutQueueSeedTest, MembersGetTheLongestDuration)
{
    std::mt19937_64 random(firstSeed() * 1'000 + std::uint64_t(GetParam()));
    const auto pick = [&random](std::int64_t from, std::int64_t to) {
        return milliseconds(std::uniform_int_distribution<std::int64_t>(from, to)(random));
    };
    std::vector<MonotonicTime> startedAt;
    std::vector<MonotonicTime> ends;
    const auto check = [&] {
        for (std::size_t i = 0; i < ends.size(); ++i) {
            const Waiting &waiting = *m_waiting[i];
            if (waiting.timedOutAt == m_loop.now()) {
                ASSERT_GE(m_loop.now(), ends[i]);
            } else if (!waiting.timedOutAt.has_value()) {
                ASSERT_LE(m_loop.now(), ends[i] + 2 * Granularity);
            }
        }
    };
    for (int i = 0; i < 300; ++i) {
        runFor(pick(0, 500), check);
        if (i % 3 == 0) {
            const milliseconds duration = pick(1'000, 20'000);
            m_queue.setDuration(duration);
            for (std::size_t member = 0; member < ends.size(); ++member) {
                if (!m_waiting[member]->timedOutAt.has_value()) {
                    ends[member] = std::max(ends[member], startedAt[member] + duration);
                }
            }
        } else {
            add();
            startedAt.push_back(m_loop.now());
            ends.push_back(m_loop.now() + m_queue.duration());
        }
    }
    runFor(seconds(60));
    EXPECT_EQ(m_queue.size(), 0u);
}

INSTANTIATE_TEST_SUITE_P(Seeds, TimeoutQueueSeedTest, testing::Range(0, 50));

class TimeoutQueueLoopTest : public LoopTest
{};

// Guards against a queue whose members never time out again after one of them has thrown.
TEST_F(TimeoutQueueLoopTest, GoesOnAfterAnException)
{
    TimeoutQueue queue(m_loop, milliseconds(10));
    TimeoutQueue::Member throwing([] { throw std::runtime_error("no memory"); });
    bool hasTimedOut = false;
    TimeoutQueue::Member other([&hasTimedOut] { hasTimedOut = true; });
    throwing.start(queue);
    other.start(queue);
    runUntil([&hasTimedOut] { return hasTimedOut; });
}

} // namespace
} // namespace Tarragon
