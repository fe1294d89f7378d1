#include "steering/ShiftLimits.h"

#include "SteeringFixture.h"
#include "steering/WeightMoves.h"

#include <gtest/gtest.h>

namespace Tarragon {
namespace {

using Testing::row;

const ServiceId catalog("catalog");
const RegionId a("a");
const RegionId b("b");
const RegionId c("c");

ShiftLimits limitsOf(const std::vector<ShiftCap> &caps)
{
    Configuration configuration = Testing::threeRegions();
    configuration.shifts = caps;
    return { configuration, catalog };
}

WeightRow stepFrom(const ShiftLimits &limits, const WeightRow &current, const WeightRow &goal)
{
    return limits.step(current, goal, { { current, microseconds(0) } });
}

TEST(ShiftLimits, WithoutCapsTheGoalIsReachedAtOnce)
{
    EXPECT_EQ(stepFrom(limitsOf({}), row(1'000'000, 0, 0), row(0, 500'000, 500'000)),
              row(0, 500'000, 500'000));
}

TEST(ShiftLimits, AStepMovesExactlyTheCapBetweenTwoRegions)
{
    const ShiftLimits limits = limitsOf({ { catalog, a, b, Share{ 50'000 }, seconds(60), {} } });
    EXPECT_EQ(stepFrom(limits, row(1'000'000, 0, 0), row(0, 1'000'000, 0)),
              row(950'000, 50'000, 0));
}

// A change that moves weight only from a to b also moves some callers from a to c and from c to b.
// If the caps between a and c were not checked, they would be exceeded.
TEST(ShiftLimits, CapsOfRegionsWithUnchangedWeightsAreKeptToo)
{
    const ShiftLimits limits = limitsOf({ { catalog, a, c, Share{ 2'000 }, seconds(60), {} } });
    const WeightRow current = row(500'000, 300'000, 200'000);
    const WeightRow goal = row(300'000, 500'000, 200'000);
    ASSERT_GT(movedShare(current, goal, a, c), 0.002);
    const WeightRow next = stepFrom(limits, current, goal);
    EXPECT_LE(movedShare(current, next, a, c), 0.002 + 1e-9);
    EXPECT_GT(shareOf(next, b), shareOf(current, b));
}

// A move made earlier within the window counts towards the cap; a move made before the window does
// not.
TEST(ShiftLimits, RowsReplacedWithinTheWindowCount)
{
    const ShiftLimits limits = limitsOf({ { catalog, a, b, Share{ 50'000 }, seconds(60), {} } });
    const WeightRow before = row(1'000'000, 0, 0);
    const WeightRow current = row(970'000, 30'000, 0);
    const WeightRow goal = row(0, 1'000'000, 0);
    const microseconds window = limits.maxWindow();
    EXPECT_EQ(window, seconds(62));
    EXPECT_EQ(limits.step(current, goal,
                          { { current, microseconds(0) }, { before, window - seconds(1) } }),
              row(950'000, 50'000, 0));
    EXPECT_EQ(limits.step(current, goal, { { current, microseconds(0) }, { before, window } }),
              row(920'000, 80'000, 0));
}

TEST(ShiftLimits, ACapOfZeroForbidsTheMove)
{
    const ShiftLimits limits = limitsOf({ { catalog, a, b, Share{ 0 }, seconds(60), {} } });
    EXPECT_TRUE(limits.forbids(a, b));
    EXPECT_FALSE(limits.forbids(b, a));
    EXPECT_EQ(stepFrom(limits, row(1'000'000, 0, 0), row(0, 1'000'000, 0)), row(1'000'000, 0, 0));
}

} // namespace
} // namespace Tarragon
