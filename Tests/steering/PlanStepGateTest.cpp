#include "steering/PlanStepGate.h"

#include "SteeringFixture.h"

#include <gtest/gtest.h>

namespace Tarragon {
namespace {

const FailureDomainId first("a-1");
const FailureDomainId second("b-1");
const InstanceId entryOfFirst("a-1-0");
const InstanceId otherOfFirst("a-1-1");
const InstanceId entryOfSecond("b-1-0");
constexpr Incarnation Original(11);
constexpr Incarnation Restarted(12);

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

const std::map<FailureDomainId, std::set<InstanceId>> onlyFirst = { { first, { entryOfFirst } } };
const std::map<FailureDomainId, std::set<InstanceId>> both = { { first, { entryOfFirst } },
                                                               { second, { entryOfSecond } } };

// If a step were made while a partitioned domain still applies the plan before the current one,
// callers that change between entries could move by two steps at once.
TEST(PlanStepGate, WaitsForEveryDomainAndThenForTheHold)
{
    PlanStepGate gate(seconds(62));
    gate.setRequired(both);
    gate.setPlan(PlanVersion(5));
    gate.acknowledge(entryOfFirst, Original, PlanVersion(5), at(0));
    gate.acknowledge(entryOfSecond, Original, PlanVersion(4), at(0));
    EXPECT_FALSE(gate.mayStep(at(0)));
    EXPECT_FALSE(gate.mayStep(at(1'000)));
    EXPECT_EQ(gate.unacknowledgedDomains(), std::vector<FailureDomainId>{ second });
    gate.acknowledge(entryOfSecond, Original, PlanVersion(5), at(1'001));
    EXPECT_FALSE(gate.mayStep(at(1'001)));
    gate.acknowledge(entryOfFirst, Original, PlanVersion(5), at(1'050));
    gate.acknowledge(entryOfSecond, Original, PlanVersion(5), at(1'050));
    EXPECT_FALSE(gate.mayStep(at(1'062)));
    EXPECT_TRUE(gate.mayStep(at(1'063)));
}

TEST(PlanStepGate, DrainedDomainsAreNotWaitedFor)
{
    PlanStepGate gate(seconds(10));
    gate.setRequired(both);
    gate.setPlan(PlanVersion(2));
    gate.acknowledge(entryOfFirst, Original, PlanVersion(2), at(0));
    EXPECT_FALSE(gate.mayStep(at(0)));
    gate.setRequired(onlyFirst);
    EXPECT_FALSE(gate.mayStep(at(1)));
    gate.acknowledge(entryOfFirst, Original, PlanVersion(2), at(10));
    EXPECT_TRUE(gate.mayStep(at(11)));
}

// A domain that returns from a planned stop must acknowledge the plan in force before the next
// step.
TEST(PlanStepGate, ADomainThatIsRequiredAgainStartsTheHoldAnew)
{
    PlanStepGate gate(seconds(10));
    gate.setRequired(onlyFirst);
    gate.setPlan(PlanVersion(2));
    gate.acknowledge(entryOfFirst, Original, PlanVersion(2), at(0));
    EXPECT_FALSE(gate.mayStep(at(0)));
    gate.setRequired(both);
    EXPECT_FALSE(gate.mayStep(at(9)));
    gate.acknowledge(entryOfSecond, Original, PlanVersion(2), at(15));
    EXPECT_FALSE(gate.mayStep(at(15)));
    gate.acknowledge(entryOfFirst, Original, PlanVersion(2), at(24));
    gate.acknowledge(entryOfSecond, Original, PlanVersion(2), at(24));
    EXPECT_FALSE(gate.mayStep(at(24)));
    EXPECT_TRUE(gate.mayStep(at(25)));
}

// Reports arrive out of order; an older one must neither permit nor block a step.
TEST(PlanStepGate, OlderVersionsAreIgnored)
{
    PlanStepGate gate(seconds(10));
    gate.setRequired(onlyFirst);
    gate.setPlan(PlanVersion(3));
    gate.acknowledge(entryOfFirst, Original, PlanVersion(3), at(0));
    EXPECT_FALSE(gate.mayStep(at(0)));
    gate.setPlan(PlanVersion(2));
    gate.acknowledge(entryOfFirst, Original, PlanVersion(1), at(6));
    EXPECT_TRUE(gate.mayStep(at(10)));
    gate.setPlan(PlanVersion(4));
    EXPECT_FALSE(gate.mayStep(at(20)));
}

TEST(PlanStepGate, EveryEntryOfADomainCounts)
{
    PlanStepGate gate(seconds(10));
    gate.setRequired({ { first, { entryOfFirst, otherOfFirst } } });
    gate.setPlan(PlanVersion(2));
    gate.acknowledge(entryOfFirst, Original, PlanVersion(2), at(0));
    EXPECT_FALSE(gate.mayStep(at(0)));
    EXPECT_FALSE(gate.mayStep(at(20)));
    gate.acknowledge(otherOfFirst, Original, PlanVersion(2), at(21));
    EXPECT_FALSE(gate.mayStep(at(21)));
    gate.acknowledge(entryOfFirst, Original, PlanVersion(2), at(30));
    gate.acknowledge(otherOfFirst, Original, PlanVersion(2), at(30));
    EXPECT_TRUE(gate.mayStep(at(31)));
}

// Guards against an entry that restarts with the weights of a peer one step behind and still counts
// as having applied the plan: its callers would later move by two steps at once. Found by
// SteeringSchedule.
TEST(PlanStepGate, ARestartedEntryHasToAcknowledgeAgain)
{
    PlanStepGate gate(seconds(10));
    gate.setRequired(onlyFirst);
    gate.setPlan(PlanVersion(2));
    gate.acknowledge(entryOfFirst, Original, PlanVersion(2), at(0));
    EXPECT_FALSE(gate.mayStep(at(0)));
    gate.acknowledge(entryOfFirst, Restarted, PlanVersion(), at(9));
    EXPECT_FALSE(gate.mayStep(at(10)));
    gate.acknowledge(entryOfFirst, Restarted, PlanVersion(2), at(11));
    EXPECT_FALSE(gate.mayStep(at(11)));
    gate.acknowledge(entryOfFirst, Restarted, PlanVersion(2), at(17));
    EXPECT_FALSE(gate.mayStep(at(20)));
    EXPECT_TRUE(gate.mayStep(at(21)));
}

// Guards against the same failure when the entry is partitioned right after its restart, so that
// the planner does not know of the new incarnation. Found by SteeringSchedule (seed 380).
TEST(PlanStepGate, AnEntryThatStopsReportingDuringTheHoldBlocksTheStep)
{
    PlanStepGate gate(seconds(10));
    gate.setRequired(onlyFirst);
    gate.setPlan(PlanVersion(2));
    gate.acknowledge(entryOfFirst, Original, PlanVersion(2), at(0));
    EXPECT_FALSE(gate.mayStep(at(0)));
    gate.acknowledge(entryOfFirst, Original, PlanVersion(2), at(4));
    EXPECT_FALSE(gate.mayStep(at(100)));
    EXPECT_EQ(gate.domainsWithoutReportSince(at(5)), std::vector<FailureDomainId>{ first });
    gate.acknowledge(entryOfFirst, Original, PlanVersion(2), at(101));
    EXPECT_TRUE(gate.mayStep(at(101)));
}

TEST(PlanStepGate, ADomainWithoutEntriesIsNotAcknowledged)
{
    PlanStepGate gate(seconds(10));
    gate.setRequired({ { first, {} } });
    EXPECT_FALSE(gate.mayStep(at(0)));
    EXPECT_FALSE(gate.mayStep(at(20)));
}

} // namespace
} // namespace Tarragon
