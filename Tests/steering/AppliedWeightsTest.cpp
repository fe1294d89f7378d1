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

// A plan that skips several versions must not be applied in one go.
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

// Found by SteeringSchedule: an entry that had no plan yet followed each new document on its own,
// far ahead of the others.
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

// A restarted entry does not know what its peers moved in the last window.
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

// Failover must keep the caps as well; what cannot move yet and what nobody can carry stays with
// the lost region, where it is refused.
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

// The failover weights of two regions were not checked together.
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
