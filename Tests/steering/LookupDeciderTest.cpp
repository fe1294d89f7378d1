#include "steering/LookupDecider.h"

#include "SteeringFixture.h"
#include "base/Digest.h"
#include "steering/Rendezvous.h"

#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include <cmath>
#include <set>

namespace Tarragon {
namespace {

using Testing::row;

constexpr std::uint32_t CallerInA = 10U << 24U | 7;
constexpr int CallerCount = 20'000;

const ServiceId catalog("catalog");

struct LookupCase
{
    explicit LookupCase(const WeightRow &weights = {})
        : LookupCase(std::make_shared<const Configuration>(Testing::threeRegions()), weights)
    {}

    LookupCase(const ConfigurationPtr &configuration, const WeightRow &weights)
        : decider(configuration, LookupDecider::indexBlocks(configuration->topology))
        , states(decider.entries().size(), EntryState::Live)
    {
        if (!weights.empty()) {
            decider.setWeights({ { catalog, { { RegionId("a"), weights } } } }, PlanVersion(1));
        }
    }

    LookupDecision decide(int caller) const
    {
        return decider.decide(catalog, CallerInA, stableHash(std::to_string(caller)), states);
    }

    void setRegionState(const std::string &region, EntryState state)
    {
        for (std::size_t i = 0; i < states.size(); ++i) {
            if (decider.regions()[decider.entries()[i].region].value() == region) {
                states[i] = state;
            }
        }
    }

    LookupDecider decider;
    LookupDecider::EntryStates states;
};

TEST(LookupDecider, UnknownServiceIsAnOutcomeOfItsOwn)
{
    const LookupCase setup;
    EXPECT_EQ(setup.decider.decide(ServiceId("x"), CallerInA, 1, setup.states).outcome,
              LookupOutcome::UnknownService);
}

TEST(LookupDecider, CallersWithoutWeightsAreServedByTheirOwnRegion)
{
    const LookupCase setup;
    const LookupDecision decision = setup.decide(1);
    ASSERT_EQ(decision.outcome, LookupOutcome::Decided);
    EXPECT_EQ(setup.decider.regions()[decision.servingRegion], RegionId("a"));
    EXPECT_TRUE(decision.matchedBlock);
}

// A biased choice of the serving region would overload a region although the plan is correct.
TEST(LookupDecider, CallersSpreadByWeight)
{
    const LookupCase setup(row(500'000, 300'000, 200'000));
    std::vector<double> counts(3);
    for (int i = 0; i < CallerCount; ++i) {
        counts[setup.decide(i).servingRegion] += 1.0 / CallerCount;
    }
    EXPECT_NEAR(counts[0], 0.5, 0.015);
    EXPECT_NEAR(counts[1], 0.3, 0.015);
    EXPECT_NEAR(counts[2], 0.2, 0.015);
}

// A hash that reassigns all callers at each change of the weights would move far more traffic than
// the plan intends.
TEST(LookupDecider, AWeightChangeMovesNoMoreCallersThanItsBound)
{
    struct Case
    {
        WeightRow before;
        WeightRow after;
        double change;
        double bound;
    };
    const std::vector<Case> cases = {
        { row(700'000, 300'000, 0), row(650'000, 350'000, 0), 0.05, 0.05 },
        { row(500'000, 300'000, 200'000), row(400'000, 400'000, 200'000), 0.1, 0.2 / 1.1 },
    };
    for (const Case &it : cases) {
        const LookupCase before(it.before);
        const LookupCase after(it.after);
        double moved = 0;
        for (int i = 0; i < CallerCount; ++i) {
            moved += before.decide(i).servingRegion != after.decide(i).servingRegion
                             ? 1.0 / CallerCount
                             : 0.0;
        }
        EXPECT_GE(moved, it.change - 0.006);
        EXPECT_LE(moved, it.bound + 0.006);
    }
}

// If all listed entries were in one failure domain, the caller would have no entry to try when this
// domain fails.
TEST(LookupDecider, ListSpreadsOverDomainsAndEndsInAnotherRegion)
{
    const LookupCase setup(row(600'000, 300'000, 100'000));
    std::set<std::string> firstDomains;
    for (int i = 0; i < 1'000; ++i) {
        const LookupDecision decision = setup.decide(i);
        ASSERT_EQ(decision.entryCount, 4);
        const std::vector<LookupDecider::Entry> &entries = setup.decider.entries();
        EXPECT_EQ(entries[decision.entries[0]].region, decision.servingRegion);
        EXPECT_EQ(entries[decision.entries[1]].region, decision.servingRegion);
        EXPECT_NE(entries[decision.entries[0]].domain, entries[decision.entries[1]].domain);
        EXPECT_NE(entries[decision.entries[3]].region, decision.servingRegion);
        const std::set<std::uint16_t> distinct(decision.entries.begin(), decision.entries.end());
        EXPECT_EQ(distinct.size(), 4U);
        firstDomains.insert(entries[decision.entries[0]].domain.value());
    }
    EXPECT_EQ(firstDomains.size(), 6U);
}

// Lookups must not name an entry that is leaving, because it accepts no new work, or an entry that
// is unreachable.
TEST(LookupDecider, LeavingAndUnreachableEntriesAreNotNamed)
{
    LookupCase setup;
    setup.states[0] = EntryState::Leaving;
    setup.states[3] = EntryState::Unreachable;
    for (int i = 0; i < 200; ++i) {
        const LookupDecision decision = setup.decide(i);
        ASSERT_EQ(decision.outcome, LookupOutcome::Decided);
        EXPECT_THAT(std::vector<std::uint16_t>(decision.entries.begin(),
                                               decision.entries.begin() + decision.entryCount),
                    testing::AllOf(testing::Not(testing::Contains(0)),
                                   testing::Not(testing::Contains(3))));
    }
}

// Sending all callers of a lost region to other regions at once would exceed the caps and the
// capacity of these regions, so callers that the weights have not moved yet are refused.
TEST(LookupDecider, CallersOfALostRegionAreRefusedUntilTheWeightsMoveThem)
{
    LookupCase setup(row(500'000, 300'000, 200'000));
    const LookupCase whole(row(500'000, 300'000, 200'000));
    setup.setRegionState("a", EntryState::Unreachable);
    for (int i = 0; i < 1'000; ++i) {
        const LookupDecision decision = setup.decide(i);
        EXPECT_EQ(decision.servingRegion, whole.decide(i).servingRegion);
        EXPECT_EQ(decision.outcome, decision.servingRegion == 0 ? LookupOutcome::NoUsableEntry
                                                                : LookupOutcome::Decided);
    }
}

// An explanation that omits an input of the decision would mislead an operator who uses "why".
TEST(LookupDecider, ExplanationNamesEveryInput)
{
    LookupCase setup(row(600'000, 400'000, 0));
    setup.states[0] = EntryState::Leaving;
    const std::uint64_t hash = stableHash("caller");
    const LookupExplanation explanation =
            setup.decider.explain(catalog, CallerInA, hash, setup.states);
    const LookupDecision decision = setup.decider.decide(catalog, CallerInA, hash, setup.states);
    EXPECT_EQ(explanation.generation, Generation(1));
    EXPECT_EQ(explanation.plan, PlanVersion(1));
    EXPECT_EQ(explanation.block, "10.0.0.0/16");
    EXPECT_EQ(explanation.callerRegion, RegionId("a"));
    ASSERT_EQ(explanation.candidates.size(), 2U);
    EXPECT_EQ(explanation.candidates[1].weight, Share{ 400'000 });
    EXPECT_EQ(explanation.servingRegion, setup.decider.regions()[decision.servingRegion]);
    const bool firstWins = explanation.candidates[0].score < explanation.candidates[1].score;
    EXPECT_EQ(explanation.servingRegion, explanation.candidates[firstWins ? 0 : 1].region);
    std::size_t positions = 0;
    for (const LookupExplanation::EntryInput &it : explanation.entries) {
        positions += it.position > 0 ? 1 : 0;
    }
    EXPECT_EQ(positions, decision.entryCount);
    EXPECT_THAT(toString(explanation), testing::HasSubstr("10.0.0.0/16"));
}

} // namespace
} // namespace Tarragon
