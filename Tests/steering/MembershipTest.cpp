#include "steering/Membership.h"

#include <gtest/gtest.h>

namespace Tarragon {
namespace {

MonotonicTime at(std::int64_t ms)
{
    return MonotonicTime(milliseconds(ms));
}

FailureDomainId domainA()
{
    return FailureDomainId("a");
}

class MembershipTest : public testing::Test
{
protected:
    MembershipTest()
    {
        for (int i = 0; i < 2; ++i) {
            EntrySeat seat;
            seat.id = InstanceId("entry-" + std::to_string(i));
            seat.seat = i;
            m_configuration.topology.domains[domainA()].entries.push_back(seat);
        }
        ServiceConfiguration &service = m_configuration.services[ServiceId("catalog")];
        for (int i = 0; i < 4; ++i) {
            Target target;
            target.id = TargetId("t-" + std::to_string(i));
            target.domain = domainA();
            service.targets.push_back(target);
        }
        m_membership.setMembers(m_configuration, at(0));
        list(0, {}, {});
    }
    /// Applies a platform list of all members except the absent ones.
    void list(std::int64_t ms, const std::set<std::string> &absent,
              const std::set<std::string> &leaving)
    {
        std::vector<ListedInstance> instances;
        for (const char *it : { "entry-0", "entry-1", "t-0", "t-1", "t-2", "t-3" }) {
            if (!absent.contains(it)) {
                instances.push_back(ListedInstance{ it, leaving.contains(it) });
            }
        }
        m_membership.onList(instances, at(ms));
    }
    void heartbeat(int entry, std::uint64_t incarnation, std::int64_t ms, bool leaving = false)
    {
        m_membership.onHeartbeat(InstanceId("entry-" + std::to_string(entry)),
                                 Incarnation(incarnation), leaving, at(ms));
    }
    MemberState entry(int i, std::int64_t ms) const
    {
        return m_membership.state(InstanceId("entry-" + std::to_string(i)), at(ms));
    }
    MemberState target(int i, std::int64_t ms) const
    {
        return m_membership.state(TargetId("t-" + std::to_string(i)), at(ms));
    }

    Configuration m_configuration;
    Membership m_membership;
};

// A list that omits a working instance, or lost heartbeats of it, must not remove the instance.
TEST_F(MembershipTest, NeitherSourceAloneRemovesAnEntry)
{
    heartbeat(0, 1, 10'000);
    list(10'000, { "entry-0" }, {});
    heartbeat(0, 1, 19'000);
    EXPECT_EQ(entry(0, 20'000), MemberState::Live);
    EXPECT_EQ(entry(1, 20'000), MemberState::Suspect);
    EXPECT_EQ(entry(0, 30'000), MemberState::Gone);
}

TEST_F(MembershipTest, AReachedTargetStaysWithoutTheList)
{
    list(10'000, { "t-0" }, {});
    m_membership.onTargetReached(TargetId("t-0"), at(19'000));
    EXPECT_EQ(target(0, 20'000), MemberState::Live);
    EXPECT_EQ(target(0, 23'000), MemberState::Gone);
    EXPECT_EQ(target(1, 23'000), MemberState::Live);
}

// More than half of a failure domain does not stop within seconds; the list must be incomplete.
TEST_F(MembershipTest, MoreThanHalfOfADomainVanishingIsIgnored)
{
    list(10'000, { "t-0", "t-1" }, {});
    list(12'000, { "t-0", "t-1", "t-2", "t-3" }, {});
    for (int i = 0; i < 4; ++i) {
        EXPECT_EQ(target(i, 60'000), MemberState::Live) << i;
    }
    // After a complete list, a single target that vanishes is treated as gone again.
    list(61'000, {}, {});
    list(62'000, { "t-0" }, {});
    EXPECT_EQ(target(0, 70'000), MemberState::Gone);
}

TEST_F(MembershipTest, HalfOfADomainVanishingIsAccepted)
{
    list(10'000, { "t-0", "t-1", "t-2" }, {});
    EXPECT_EQ(target(2, 20'000), MemberState::Gone);
}

// A late heartbeat or an old list must not bring a leaving instance back into lookups.
TEST_F(MembershipTest, LeavingIsTerminalForAnIncarnation)
{
    heartbeat(0, 1, 1'000, true);
    heartbeat(0, 1, 1'100, false);
    EXPECT_EQ(entry(0, 1'200), MemberState::Leaving);
    heartbeat(0, 2, 2'000);
    EXPECT_EQ(entry(0, 2'100), MemberState::Live);
    heartbeat(0, 1, 2'200);
    EXPECT_EQ(entry(0, 2'300), MemberState::Live);
    EXPECT_EQ(m_membership.incarnation(InstanceId("entry-0")), Incarnation(2));
}

// The list lags: it may still report the previous incarnation as leaving when the new one is live.
TEST_F(MembershipTest, AnOldListDoesNotMakeANewIncarnationLeave)
{
    heartbeat(0, 1, 1'000);
    list(1'500, {}, { "entry-0" });
    EXPECT_EQ(entry(0, 1'600), MemberState::Leaving);
    heartbeat(0, 2, 2'000);
    list(2'500, {}, { "entry-0" });
    EXPECT_EQ(entry(0, 2'600), MemberState::Live);
    list(3'000, {}, {});
    list(3'500, {}, { "entry-0" });
    EXPECT_EQ(entry(0, 3'600), MemberState::Leaving);
}

TEST_F(MembershipTest, ALeavingTargetReturnsOnlyAfterAnAbsenceOrALongTime)
{
    list(1'000, {}, { "t-0", "t-1" });
    list(2'000, {}, {});
    list(10'000, {}, { "t-0" });
    list(11'000, { "t-0" }, {});
    EXPECT_EQ(target(1, 11'000), MemberState::Leaving);
    list(12'000, {}, {});
    EXPECT_EQ(target(0, 12'000), MemberState::Live);
    list(32'000, {}, {});
    EXPECT_EQ(target(1, 32'000), MemberState::Live);
}

// All entries must rank the live entries equally, because each of them chooses by rank which entry
// has a role such as watcher, relay or backup. When one entry fails, the order of the others must
// stay the same, so that no role changes without need.
TEST_F(MembershipTest, RankDependsOnLiveMembersOnly)
{
    heartbeat(0, 1, 1'000);
    heartbeat(1, 1, 1'000);
    const std::vector<InstanceId> both = m_membership.ranked(domainA(), "watch", at(1'000));
    ASSERT_EQ(both.size(), 2U);
    heartbeat(both[0] == InstanceId("entry-0") ? 1 : 0, 1, 5'000);
    const std::vector<InstanceId> one = m_membership.ranked(domainA(), "watch", at(5'000));
    ASSERT_EQ(one.size(), 1U);
    EXPECT_EQ(one[0], both[1]);
    EXPECT_TRUE(m_membership.hasResponsiveEntry(domainA(), at(5'000)));
    EXPECT_FALSE(m_membership.hasResponsiveEntry(domainA(), at(9'000)));
}

} // namespace
} // namespace Tarragon
