#include "steering/PlanMaker.h"

#include "SteeringFixture.h"
#include "steering/ConfiguredWeights.h"
#include "steering/WeightMoves.h"

#include <gmock/gmock.h>
#include <gtest/gtest.h>

namespace Tarragon {
namespace {

using Testing::row;

const ServiceId catalog("catalog");
const RegionId a("a");
const RegionId b("b");
const RegionId c("c");
const std::vector<RegionId> regions = { a, b, c };

/// 08:30 in Athens in winter.
constexpr UtcTime Morning =
        std::chrono::sys_days(std::chrono::year(2026) / 1 / 15) + std::chrono::minutes(390);

struct Planning
{
    explicit Planning(Share cap = Share{ 50'000 })
        : configuration(Testing::threeRegions())
    {
        configuration.shifts = Testing::capsBetweenAll(configuration, cap, seconds(60));
        for (const RegionId &it : regions) {
            input.loads[catalog][it] = { 50, Mbps{ 100 }, milliseconds(0) };
            input.slots[catalog][it] = 100;
        }
        input.now = Morning;
    }

    PlanMaker::Result next() const
    {
        const PlanMaker maker(std::make_shared<const Configuration>(configuration),
                              InstanceId("a-1-0"));
        return maker.next(input);
    }

    /// Makes the given number of steps and returns the last plan.
    Plan after(int steps)
    {
        Plan plan;
        for (int i = 0; i < steps; ++i) {
            const Plan *before = input.current;
            plan = next().plan;
            input.current = nullptr;
            if (before != nullptr) {
                kept.push_back(std::make_unique<Plan>(*before));
            }
            kept.push_back(std::make_unique<Plan>(plan));
            input.current = kept.back().get();
        }
        return plan;
    }

    double load(const Weights &weights, const RegionId &region) const
    {
        double sum = 0;
        for (const auto &[caller, row] : weights.at(catalog)) {
            sum += input.loads.at(catalog).at(caller).busySlots * shareOf(row, region).ratio();
        }
        return sum;
    }

    /// Returns the load of a region while another region is lost.
    double failoverLoad(const Plan &plan, const RegionId &lost, const RegionId &region) const
    {
        Weights weights = plan.weights;
        for (const auto &[caller, row] : plan.failover.at(lost).at(catalog)) {
            weights[catalog][caller] = row;
        }
        return load(weights, region);
    }

    Configuration configuration;
    PlanMaker::Input input;
    std::vector<std::unique_ptr<Plan>> kept;
};

TEST(PlanMaker, StartsFromTheConfiguredWeights)
{
    Planning planning;
    planning.configuration.services.at(catalog).weights[a] = row(3, 1, 0);
    const PlanMaker::Result result = planning.next();
    EXPECT_TRUE(result.isChanged);
    EXPECT_EQ(result.plan.version, PlanVersion(1));
    EXPECT_EQ(result.plan.weights.at(catalog).at(a), row(750'000, 250'000, 0));
    EXPECT_EQ(result.plan.weights.at(catalog).at(b), row(0, 1'000'000, 0));
    EXPECT_EQ(parsePlan(serializePlan(result.plan)), result.plan);
}

// The plan must reach edited weights, but move by no more than the cap in each step.
TEST(PlanMaker, StepsByTheCapUntilTheConfiguredWeightsAreReached)
{
    Planning planning;
    planning.after(1);
    planning.configuration.services.at(catalog).weights[a] = row(800'000, 200'000, 0);
    EXPECT_EQ(planning.after(1).weights.at(catalog).at(a), row(950'000, 50'000, 0));
    EXPECT_EQ(planning.after(3).weights.at(catalog).at(a), row(800'000, 200'000, 0));
    // One more plan may increase the failover weights, because they no longer need to fit together
    // with the rows from before the last step.
    planning.after(1);
    EXPECT_FALSE(planning.next().isChanged);
}

// Traffic that a region cannot carry must move to other regions, but only as much as they can
// carry.
TEST(PlanMaker, MovesTrafficAwayFromAnOverloadedRegion)
{
    Planning planning;
    planning.input.loads[catalog][a].busySlots = 150;
    const Plan plan = planning.after(20);
    EXPECT_LE(planning.load(plan.weights, a), 90 + 0.1);
    EXPECT_LE(planning.load(plan.weights, b), 90 + 0.1);
    EXPECT_LE(planning.load(plan.weights, c), 90 + 0.1);
}

// Moving more traffic than the other regions can carry would only overload them instead.
TEST(PlanMaker, NeverFillsARegionBeyondItsPlannableSlots)
{
    Planning planning;
    planning.input.loads[catalog][a].busySlots = 400;
    const Plan plan = planning.after(20);
    EXPECT_GE(planning.load(plan.weights, b), 85);
    EXPECT_LE(planning.load(plan.weights, b), 90 + 0.1);
    EXPECT_LE(planning.load(plan.weights, c), 90 + 0.1);
}

TEST(PlanMaker, EmptiesARegionWhoseSlotsAreStopped)
{
    Planning planning(Share{ 250'000 });
    planning.input.loads[catalog][a].busySlots = 40;
    planning.input.slots[catalog].erase(a);
    const Plan plan = planning.after(6);
    EXPECT_NEAR(planning.load(plan.weights, a), 0, 0.1);
}

// Outdated load reports say nothing about the present load, so no traffic may be moved based on
// them.
TEST(PlanMaker, UnknownLoadStopsTheService)
{
    Planning planning;
    planning.after(1);
    planning.configuration.services.at(catalog).weights[a] = row(800'000, 200'000, 0);
    planning.input.loads[catalog][b].age = PlanMaker::MaxLoadReportAge + seconds(1);
    const PlanMaker::Result result = planning.next();
    EXPECT_EQ(result.plan.weights.at(catalog).at(a), row(1'000'000, 0, 0));
    EXPECT_THAT(result.notes, testing::Contains(testing::HasSubstr("load reports")));
}

// The peak starts at 08:34 local time, 4 minutes later: traffic that the region cannot carry during
// the peak must not be moved into the region before it.
TEST(PlanMaker, CountsAPeakThatIsAboutToBegin)
{
    Planning planning;
    planning.configuration.services.at(catalog).weights[a] = row(500'000, 500'000, 0);
    planning.input.loads[catalog][b].busySlots = 30;
    EXPECT_NEAR(planning.load(planning.after(20).weights, b), 55, 0.1);
    planning.configuration.services.at(catalog).peaks = {
        { "Europe/Athens", std::chrono::minutes(514), std::chrono::minutes(720), 2 }
    };
    EXPECT_LE(planning.load(planning.after(20).weights, b), 45 + 0.1);
}

TEST(PlanMaker, KeepsLinksBelowTheirRate)
{
    Planning planning;
    planning.after(1);
    planning.configuration.services.at(catalog).weights[a] = row(800'000, 200'000, 0);
    for (RegionLink &it : planning.configuration.topology.links) {
        it.capacity = Mbps{ 12 };
    }
    const Plan plan = planning.after(10);
    EXPECT_LE(shareOf(plan.weights.at(catalog).at(a), b).ratio() * 100, 12 * 0.9 + 0.01);
    EXPECT_GT(shareOf(plan.weights.at(catalog).at(a), b), Share{});
}

// The failover of a lost region must not overload another region, which might then fail as well.
TEST(PlanMaker, FailoverFillsOthersOnlyUpToTheirPlannableSlots)
{
    for (const double busy : { 30.0, 50.0, 70.0, 89.0 }) {
        Planning planning;
        for (const RegionId &it : regions) {
            planning.input.loads[catalog][it].busySlots = busy;
        }
        const Plan plan = planning.after(3);
        for (const RegionId &lost : regions) {
            double carried = 0;
            for (const RegionId &it : regions) {
                if (it != lost) {
                    const double load = planning.failoverLoad(plan, lost, it);
                    EXPECT_LE(load, 90 + 0.01) << "lost " << lost << ", region " << it;
                    carried += load - busy;
                }
            }
            EXPECT_NEAR(carried, std::min(busy, 2 * (90 - busy)), 0.2);
        }
    }
}

TEST(PlanMaker, FailoverRespectsForbiddenMovesAndLinks)
{
    Planning planning;
    for (ShiftCap &it : planning.configuration.shifts) {
        if (it.from == a && it.to == b) {
            it.sharePerPeriod = Share{};
        }
        if (it.from == a && it.to == c) {
            it.linkRate = Mbps{ 10 };
        }
    }
    const Plan plan = planning.after(1);
    const WeightRow &failover = plan.failover.at(a).at(catalog).at(a);
    EXPECT_EQ(shareOf(failover, b), Share{});
    EXPECT_LE(shareOf(failover, c).ratio() * 100, 10 * 0.9 + 0.01);
    EXPECT_GT(shareOf(failover, c).ratio() * 100, 8);
}

} // namespace
} // namespace Tarragon
