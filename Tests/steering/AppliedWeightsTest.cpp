#include "steering/AppliedWeights.h"

#include "SteeringFixture.h"
#include "steering/ConfiguredWeights.h"
#include "steering/WeightMoves.h"

#include <gtest/gtest.h>

namespace Tarragon {
namespace {

using Testing::row;

const ServiceId catalog("catalog");
const RegionId a("a");
const RegionId b("b");
const RegionId c("c");
constexpr seconds Window{ 62 };

ConfigurationPtr capped(Share share)
{
    Configuration configuration = Testing::threeRegions();
    configuration.shifts = Testing::capsBetweenAll(configuration, share, seconds(60));
    return std::make_shared<const Configuration>(configuration);
}

PlanPtr planOf(std::uint64_t version, const WeightRow &rowOfA, const WeightRow &failoverOfA = {})
{
    Plan plan;
    plan.version = PlanVersion(version);
    plan.generation = Generation(1);
    plan.maker = InstanceId("a-1-0");
    plan.weights = {
        { catalog, { { a, rowOfA }, { b, row(0, 1'000'000, 0) }, { c, row(0, 0, 1'000'000) } } }
    };
    if (!failoverOfA.empty()) {
        plan.failover[a][catalog][a] = failoverOfA;
    }
    return std::make_shared<const Plan>(plan);
}

struct Applied
{
    Applied()
        : configuration(capped(Share{ 50'000 }))
        , weights(configuration)
    {
        weights.start(configuredWeights(*configuration), RegionId(), now);
        pass(Window);
    }

    void pass(seconds time)
    {
        for (seconds t(0); t < time; t += seconds(1)) {
            now += seconds(1);
            weights.advance(now);
        }
    }

    WeightRow rowOfA() const { return weights.weights().at(catalog).at(a); }

    ConfigurationPtr configuration;
    AppliedWeights weights;
    MonotonicTime now{ seconds(1'000) };
};

// An entry that receives a plan several steps ahead must still move by one cap in each window.
TEST(AppliedWeights, MoveByTheCapInEachWindow)
{
    Applied applied;
    applied.weights.setPlan(planOf(9, row(800'000, 200'000, 0)));
    applied.pass(seconds(1));
    EXPECT_EQ(applied.rowOfA(), row(950'000, 50'000, 0));
    EXPECT_EQ(applied.weights.fullyApplied(), PlanVersion());
    applied.pass(Window - seconds(1));
    EXPECT_EQ(applied.rowOfA(), row(950'000, 50'000, 0));
    applied.pass(seconds(1));
    EXPECT_EQ(applied.rowOfA(), row(900'000, 100'000, 0));
    applied.pass(2 * Window + seconds(1));
    EXPECT_EQ(applied.rowOfA(), row(800'000, 200'000, 0));
    EXPECT_EQ(applied.weights.fullyApplied(), PlanVersion(9));
}

// Guards against an entry without a plan that follows each new document at once and so moves far
// ahead of the other entries. Found by SteeringSchedule.
TEST(AppliedWeights, DoNotFollowTheDocumentWithoutAPlan)
{
    Applied applied;
    Configuration edited = *applied.configuration;
    edited.services.at(catalog).weights[a] = row(0, 1'000'000, 0);
    applied.weights.setConfiguration(std::make_shared<const Configuration>(edited));
    applied.pass(3 * Window);
    EXPECT_EQ(applied.rowOfA(), row(1'000'000, 0, 0));
}

TEST(AppliedWeights, OlderPlansAreIgnored)
{
    Applied applied;
    applied.weights.setPlan(planOf(9, row(980'000, 20'000, 0)));
    applied.weights.setPlan(planOf(8, row(960'000, 40'000, 0)));
    applied.pass(seconds(2));
    EXPECT_EQ(applied.rowOfA(), row(980'000, 20'000, 0));
    EXPECT_EQ(applied.weights.fullyApplied(), PlanVersion(9));
}

// A restarted entry does not know by how much its peers moved their weights in the last window, so
// it must not move for one window.
TEST(AppliedWeights, HeldForOneWindowAfterAStart)
{
    Applied applied;
    applied.weights.start(applied.weights.weights(), RegionId(), applied.now);
    applied.weights.setPlan(planOf(9, row(980'000, 20'000, 0)));
    applied.pass(Window - seconds(1));
    EXPECT_EQ(applied.rowOfA(), row(1'000'000, 0, 0));
    applied.pass(seconds(1));
    EXPECT_EQ(applied.rowOfA(), row(980'000, 20'000, 0));
}

// Failover must keep within the caps too. The share that cannot move yet and the share that no
// other region can carry stay with the lost region, where they are refused.
TEST(AppliedWeights, FailoverKeepsCapsAndLeavesTheRestUnassigned)
{
    Applied applied;
    applied.weights.setPlan(planOf(9, row(1'000'000, 0, 0), row(0, 90'000, 20'000)));
    applied.pass(seconds(2));
    applied.weights.setLostRegions({ a });
    applied.pass(seconds(1));
    const WeightRow start = row(1'000'000, 0, 0);
    EXPECT_LE(movedShare(start, applied.rowOfA(), a, b), 0.05 + 1e-9);
    EXPECT_LE(movedShare(start, applied.rowOfA(), a, c), 0.05 + 1e-9);
    applied.pass(3 * Window);
    EXPECT_EQ(applied.rowOfA(), row(890'000, 90'000, 20'000));
    applied.weights.setLostRegions({});
    applied.pass(3 * Window);
    EXPECT_EQ(applied.rowOfA(), row(1'000'000, 0, 0));
}

// Failover weights are checked for the loss of one region at a time, so those of two regions
// applied together could overload the others.
TEST(AppliedWeights, FailoverOfASecondRegionWaitsForTheFirst)
{
    Applied applied;
    Plan plan = *planOf(9, row(1'000'000, 0, 0), row(0, 0, 40'000));
    plan.failover[b][catalog][b] = row(0, 0, 40'000);
    applied.weights.setPlan(std::make_shared<const Plan>(plan));
    applied.weights.setLostRegions({ a });
    applied.pass(seconds(5));
    EXPECT_EQ(applied.rowOfA(), row(960'000, 0, 40'000));
    applied.weights.setLostRegions({ a, b });
    applied.pass(5 * Window);
    EXPECT_EQ(applied.weights.weights().at(catalog).at(b), row(0, 1'000'000, 0));
    applied.weights.setLostRegions({ b });
    applied.pass(2 * Window - seconds(1));
    EXPECT_EQ(applied.rowOfA(), row(1'000'000, 0, 0));
    EXPECT_EQ(applied.weights.weights().at(catalog).at(b), row(0, 1'000'000, 0));
    applied.pass(Window);
    EXPECT_EQ(applied.weights.weights().at(catalog).at(b), row(0, 960'000, 40'000));
}

} // namespace
} // namespace Tarragon
