#include "steering/PlanStepGate.h"

#include "SteeringFixture.h"

#include <gtest/gtest.h>

namespace Tarragon {
namespace {

const FailureDomainId first("a-1");
const FailureDomainId second("b-1");

constexpr MonotonicTime at(int secondsSinceStart)
{
    return MonotonicTime(seconds(secondsSinceStart));
}

TEST(PlanStepGate, HoldIsTheLongestTtlAndPeriod)
{
    Configuration configuration = Testing::threeRegions();
    configuration.shifts = Testing::capsBetweenAll(configuration, Share{ 50'000 }, seconds(60));
    EXPECT_EQ(PlanStepGate::holdTime(configuration), seconds(62));
}

// A step while a partitioned domain still applies the one before last would let callers see two
// steps at once.
TEST(PlanStepGate, WaitsForEveryDomainAndThenForTheHold)
{
    PlanStepGate gate(seconds(62));
    gate.setRequired({ first, second });
    gate.setPlan(PlanVersion(5));
    gate.acknowledge(first, PlanVersion(5));
    gate.acknowledge(second, PlanVersion(4));
    EXPECT_FALSE(gate.mayStep(at(0)));
    EXPECT_FALSE(gate.mayStep(at(1'000)));
    EXPECT_EQ(gate.missing(), std::vector<FailureDomainId>{ second });
    gate.acknowledge(second, PlanVersion(5));
    EXPECT_FALSE(gate.mayStep(at(1'001)));
    EXPECT_FALSE(gate.mayStep(at(1'062)));
    EXPECT_TRUE(gate.mayStep(at(1'063)));
}

TEST(PlanStepGate, DrainedDomainsAreNotWaitedFor)
{
    PlanStepGate gate(seconds(10));
    gate.setRequired({ first, second });
    gate.setPlan(PlanVersion(2));
    gate.acknowledge(first, PlanVersion(2));
    EXPECT_FALSE(gate.mayStep(at(0)));
    gate.setRequired({ first });
    EXPECT_FALSE(gate.mayStep(at(1)));
    EXPECT_TRUE(gate.mayStep(at(11)));
}

// A domain that returns from a stop must be heard from before the next step.
TEST(PlanStepGate, ADomainThatIsRequiredAgainStartsTheHoldAnew)
{
    PlanStepGate gate(seconds(10));
    gate.setRequired({ first });
    gate.setPlan(PlanVersion(2));
    gate.acknowledge(first, PlanVersion(2));
    EXPECT_FALSE(gate.mayStep(at(0)));
    gate.setRequired({ first, second });
    EXPECT_FALSE(gate.mayStep(at(9)));
    gate.acknowledge(second, PlanVersion(2));
    EXPECT_FALSE(gate.mayStep(at(15)));
    EXPECT_TRUE(gate.mayStep(at(25)));
}

// Messages arrive out of order; an older one must not open or close the gate.
TEST(PlanStepGate, OlderVersionsAreIgnored)
{
    PlanStepGate gate(seconds(10));
    gate.setRequired({ first });
    gate.setPlan(PlanVersion(3));
    gate.acknowledge(first, PlanVersion(3));
    EXPECT_FALSE(gate.mayStep(at(0)));
    gate.setPlan(PlanVersion(2));
    gate.acknowledge(first, PlanVersion(1));
    EXPECT_TRUE(gate.mayStep(at(10)));
    gate.setPlan(PlanVersion(4));
    EXPECT_FALSE(gate.mayStep(at(20)));
}

} // namespace
} // namespace Tarragon
