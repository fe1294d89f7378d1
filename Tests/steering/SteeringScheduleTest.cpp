// Checks invariants 1 and 2 of docs/design.md under random schedules: a shift never exceeds its
// cap, and no steering decision loads a region beyond its capacity. A failing seed is printed;
// replay it alone with
//     TARRAGON_SEED=<seed> build/bin/test-steering --gtest_filter='*SteeringSchedule*'
// TARRAGON_SEEDS=<n> sets the number of seeds of each shard.

#include "ScheduleModel.h"

#include <gtest/gtest.h>

#include <cstdlib>

namespace Tarragon {
namespace {

using Testing::ScheduleModel;
using Testing::ScheduleOptions;
using Testing::SchedulePolicy;
using Testing::ScheduleResult;

/// Allowance for rounding errors of computed moves and loads, relative to the limit.
constexpr double Tolerance = 1e-6;

constexpr unsigned ShardCount = 4;
constexpr unsigned SeedsPerShard = 250;

/// Number of seeds of the tests that compare policies, independent of TARRAGON_SEEDS.
constexpr unsigned ComparedSeeds = 40;

constexpr ScheduleOptions RegionsStay{ false };
constexpr ScheduleOptions RegionsAreLost{ true };

/// Returns the seeds of a shard. A replayed seed is run by shard 0 only.
std::vector<unsigned> seedsOf(unsigned shard, unsigned count)
{
    if (const char *text = std::getenv("TARRAGON_SEED")) {
        return shard == 0 ? std::vector<unsigned>{ static_cast<unsigned>(
                       std::strtoul(text, nullptr, 10)) }
                          : std::vector<unsigned>();
    }
    if (const char *text = std::getenv("TARRAGON_SEEDS")) {
        count = static_cast<unsigned>(std::strtoul(text, nullptr, 10));
    }
    std::vector<unsigned> seeds(count);
    for (unsigned i = 0; i < count; ++i) {
        seeds[i] = shard * count + i + 1;
    }
    return seeds;
}

std::string replay(unsigned seed)
{
    return "replay: TARRAGON_SEED=" + std::to_string(seed)
           + " build/bin/test-steering --gtest_filter='*SteeringSchedule*'";
}

class SteeringSchedule : public testing::TestWithParam<unsigned>
{};

// Guards against callers that move by two steps within one period. This can be caused by late, lost
// or reordered plans, partitioned domains that return, restarts, changes of the planner, and cached
// lookup responses of callers that change between entries.
TEST_P(SteeringSchedule, CallersKeepCapsAndRegionsTheirCapacity)
{
    int steps = 0;
    for (const unsigned seed : seedsOf(GetParam(), SeedsPerShard)) {
        const ScheduleResult result = ScheduleModel(seed, RegionsStay, {}).run();
        steps += result.planSteps;
        ASSERT_LE(result.worstEntryMove, 1 + Tolerance) << result.finding << '\n' << replay(seed);
        ASSERT_LE(result.worstRegionMove, 1 + Tolerance) << result.finding << '\n' << replay(seed);
        ASSERT_LE(result.worstLoad, 1 + Tolerance) << result.finding << '\n' << replay(seed);
    }
    RecordProperty("planSteps", steps);
}

// Guards against failover weights that are applied at once, that add up to more than a region can
// carry, or from which the weights return faster than the caps allow. Callers that change between
// entries are checked by CallersThatChangeEntriesKeepCapsWhileARegionIsLost.
TEST_P(SteeringSchedule, EntriesKeepCapsAndRegionsTheirCapacityWhileARegionIsLost)
{
    for (const unsigned seed : seedsOf(GetParam(), SeedsPerShard)) {
        const ScheduleResult result = ScheduleModel(seed, RegionsAreLost, {}).run();
        ASSERT_LE(result.worstEntryMove, 1 + Tolerance) << result.finding << '\n' << replay(seed);
        ASSERT_LE(result.worstLoad, 1 + Tolerance) << result.finding << '\n' << replay(seed);
    }
}

INSTANTIATE_TEST_SUITE_P(Shards, SteeringSchedule, testing::Range(0U, ShardCount));

// Guards against callers of a lost or restarting entry that change to an entry whose failover is
// further ahead or behind, and thereby move by more than the cap. See KNOWN-RED.txt.
TEST(SteeringScheduleFailover, CallersThatChangeEntriesKeepCapsWhileARegionIsLost)
{
    for (const unsigned seed : seedsOf(0, SeedsPerShard)) {
        const ScheduleResult result = ScheduleModel(seed, RegionsAreLost, {}).run();
        ASSERT_LE(result.worstRegionMove, 1 + Tolerance) << result.finding << '\n' << replay(seed);
    }
}

// The next three tests show that the schedules are hard enough to test the mechanisms: in the same
// schedules, a policy without one of the mechanisms breaks the invariant that it protects.
TEST(SteeringSchedulePolicies, WithoutTheLimiterEntriesBreakCaps)
{
    unsigned broken = 0;
    for (unsigned seed = 1; seed <= ComparedSeeds; ++seed) {
        ASSERT_LE(ScheduleModel(seed, RegionsAreLost, {}).run().worstEntryMove, 1 + Tolerance);
        const SchedulePolicy policy{ false, true, true };
        broken += ScheduleModel(seed, RegionsAreLost, policy).run().worstEntryMove > 1 + Tolerance
                          ? 1
                          : 0;
    }
    EXPECT_GE(broken, ComparedSeeds / 2);
}

TEST(SteeringSchedulePolicies, WithoutTheGateCallersBreakCaps)
{
    unsigned broken = 0;
    for (unsigned seed = 1; seed <= ComparedSeeds; ++seed) {
        ASSERT_LE(ScheduleModel(seed, RegionsStay, {}).run().worstEntryMove, 1 + Tolerance);
        const SchedulePolicy policy{ true, false, true };
        broken += ScheduleModel(seed, RegionsStay, policy).run().worstEntryMove > 1 + Tolerance ? 1
                                                                                                : 0;
    }
    EXPECT_GE(broken, ComparedSeeds / 2);
}

TEST(SteeringSchedulePolicies, WithUncheckedFailoverRegionsAreOverloaded)
{
    unsigned broken = 0;
    for (unsigned seed = 1; seed <= ComparedSeeds; ++seed) {
        ASSERT_LE(ScheduleModel(seed, RegionsAreLost, {}).run().worstLoad, 1 + Tolerance);
        const SchedulePolicy policy{ true, true, false };
        broken +=
                ScheduleModel(seed, RegionsAreLost, policy).run().worstLoad > 1 + Tolerance ? 1 : 0;
    }
    EXPECT_GE(broken, 1U);
}

} // namespace
} // namespace Tarragon
