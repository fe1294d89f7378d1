#include "steering/DrainState.h"

#include <gtest/gtest.h>

namespace Tarragon {
namespace {

MonotonicTime at(std::int64_t ms)
{
    return MonotonicTime(milliseconds(ms));
}

// While draining, work that has begun is completed and no new work is accepted.
TEST(DrainState, FinishesWhenThePendingWorkHasEnded)
{
    DrainState drain;
    const std::optional<std::uint64_t> first = drain.begin("request a", at(1));
    const std::optional<std::uint64_t> second = drain.begin("request b", at(2));
    ASSERT_TRUE(first && second);
    drain.leave(at(10), at(100));
    EXPECT_EQ(drain.begin("request c", at(11)), std::nullopt);
    EXPECT_EQ(drain.phase(), DrainPhase::Leaving);
    drain.end(*first);
    ASSERT_EQ(drain.pending().size(), 1U);
    EXPECT_EQ(drain.pending()[0].description, "request b");
    EXPECT_FALSE(drain.isOverdue(at(99)));
    EXPECT_TRUE(drain.isOverdue(at(100)));
    drain.end(*second);
    EXPECT_EQ(drain.phase(), DrainPhase::Finished);
    EXPECT_FALSE(drain.isOverdue(at(101)));
}

// A repeated drain must neither restart the drain's time nor postpone its deadline.
TEST(DrainState, LeavingKeepsItsStartAndItsEarliestDeadline)
{
    DrainState drain;
    EXPECT_EQ(drain.phase(), DrainPhase::Serving);
    drain.leave(at(10), at(100));
    drain.leave(at(20), at(200));
    EXPECT_EQ(drain.deadline(), at(100));
    EXPECT_EQ(drain.leavingFor(at(30)), milliseconds(20));
    EXPECT_EQ(drain.phase(), DrainPhase::Finished);
}

} // namespace
} // namespace Tarragon
