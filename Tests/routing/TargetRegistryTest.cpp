#include "routing/TargetRegistry.h"

#include "RoutingFixture.h"

#include <gmock/gmock.h>

namespace Tarragon {
namespace {

using RoutingFixture::at;
using RoutingFixture::target;

class TargetRegistryTest : public testing::Test
{
protected:
    void addTargets(int count)
    {
        std::vector<DiscoveredTarget> targets;
        targets.reserve(static_cast<std::size_t>(count));
        for (int i = 0; i < count; ++i) {
            targets.push_back(target("t" + std::to_string(i), i % 2 == 0 ? "n1" : "s1"));
        }
        m_registry.replaceAll(targets, at(0));
    }
    bool knows(const std::string &id) const { return m_registry.targets().contains(TargetId(id)); }
    TargetStanding standing(const std::string &id) const
    {
        return m_registry.targets().at(TargetId(id)).standing;
    }

    TargetRegistry m_registry;
};

// Guards against new work for a target that has announced its stop or left.
TEST_F(TargetRegistryTest, LeavingTargetsGetNoWorkAtOnce)
{
    addTargets(6);
    DiscoveredTarget leaving = target("t0");
    leaving.isDraining = true;
    m_registry.set(leaving, at(1));
    EXPECT_EQ(standing("t0"), TargetStanding::Leaving);
    m_registry.remove(TargetId("t1"), at(1));
    EXPECT_FALSE(knows("t1"));
}

// Guards against losing all targets because their entries lapsed while the store was away.
TEST_F(TargetRegistryTest, LapsedEntriesAreKeptUntilTheyCanBeBack)
{
    addTargets(3);
    m_registry.onStoreLost();
    m_registry.onStoreBack(at(10));
    m_registry.replaceAll({ target("t0") }, at(10));
    EXPECT_TRUE(knows("t1"));
    EXPECT_EQ(standing("t1"), TargetStanding::Ready);
    m_registry.set(target("t1", "s1"), at(11.9));
    m_registry.expire(at(13));
    EXPECT_TRUE(knows("t1"));
    EXPECT_FALSE(knows("t2"));
}

// Guards against sending to a target that has left during a cut of this entry alone: what is kept
// must go before the platform's bound of 3 s after the cut has healed.
TEST_F(TargetRegistryTest, KeptTargetsGoWithinThreeSecondsOfTheReturn)
{
    addTargets(3);
    m_registry.onStoreLost();
    m_registry.onStoreBack(at(10.5));
    m_registry.replaceAll({ target("t0"), target("t1", "s1") }, at(10.5));
    m_registry.expire(at(12.9));
    EXPECT_FALSE(knows("t2"));
}

// Guards against a target that drains being kept because the store was away.
TEST_F(TargetRegistryTest, DrainingEntriesAreNeverTakenForLapsed)
{
    addTargets(3);
    DiscoveredTarget leaving = target("t0");
    leaving.isDraining = true;
    m_registry.set(leaving, at(1));
    m_registry.onStoreLost();
    m_registry.onStoreBack(at(10));
    m_registry.replaceAll({ target("t1", "s1"), target("t2") }, at(10));
    EXPECT_FALSE(knows("t0"));
}

// Guards against an outage that this entry did not notice: most entries vanish at the same time.
TEST_F(TargetRegistryTest, EntriesThatVanishTogetherAreTakenForLapsed)
{
    addTargets(6);
    for (int i = 0; i < 6; ++i) {
        m_registry.remove(TargetId("t" + std::to_string(i)), at(1));
    }
    const std::size_t kept = m_registry.targets().size();
    EXPECT_GE(kept, 3u);
    for (int i = 0; i < 6; ++i) {
        m_registry.set(target("t" + std::to_string(i), i % 2 == 0 ? "n1" : "s1"), at(2));
    }
    m_registry.expire(at(10));
    EXPECT_EQ(m_registry.targets().size(), 6u);
}

// Guards against a new run under the id of an old one being judged by the old one's history.
TEST_F(TargetRegistryTest, NewRunUnderTheSameIdIsToldApart)
{
    addTargets(1);
    const int before = m_registry.targets().at(TargetId("t0")).run;
    DiscoveredTarget restarted = target("t0");
    restarted.bornMs = 2;
    restarted.coldRemaining = seconds(3);
    m_registry.set(restarted, at(5));
    const KnownTarget &known = m_registry.targets().at(TargetId("t0"));
    EXPECT_EQ(known.run, before + 1);
    EXPECT_EQ(known.coldUntil, at(8));
}

// Guards against work for an evacuated failure domain, and against a flood of requests for its
// targets when it comes back.
TEST_F(TargetRegistryTest, EvacuatedDomainsGetNothingAndReturnCold)
{
    addTargets(2);
    m_registry.setEvacuated({ FailureDomainId("n1") }, at(1));
    EXPECT_EQ(standing("t0"), TargetStanding::Evacuated);
    EXPECT_EQ(standing("t1"), TargetStanding::Ready);
    m_registry.set(target("t4", "n1"), at(2));
    EXPECT_EQ(standing("t4"), TargetStanding::Evacuated);
    m_registry.setEvacuated({}, at(9));
    EXPECT_EQ(standing("t0"), TargetStanding::Ready);
    EXPECT_GT(m_registry.targets().at(TargetId("t0")).coldUntil, at(9));
}

// Guards against a target that has said that it is leaving and is used again because its entry,
// which lapsed meanwhile, still names it ready.
TEST_F(TargetRegistryTest, LeavingThatATargetHasSaidHoldsUntilItStartsAgain)
{
    addTargets(6);
    m_registry.noteLeaving(TargetId("t1"), 1, at(1));
    EXPECT_EQ(standing("t1"), TargetStanding::Leaving);
    m_registry.remove(TargetId("t1"), at(2));
    m_registry.expire(at(2));
    DiscoveredTarget again = target("t1", "s1");
    m_registry.set(again, at(3));
    EXPECT_EQ(standing("t1"), TargetStanding::Leaving);
    again.bornMs = 2;
    m_registry.set(again, at(4));
    EXPECT_EQ(standing("t1"), TargetStanding::Ready);
    // What an earlier run said late is not held against the present one.
    m_registry.noteLeaving(TargetId("t1"), 1, at(5));
    EXPECT_EQ(standing("t1"), TargetStanding::Ready);
}

} // namespace
} // namespace Tarragon
