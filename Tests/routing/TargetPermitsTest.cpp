#include "routing/TargetPermits.h"

#include "RoutingFixture.h"

#include <gtest/gtest.h>

#include <optional>

namespace Tarragon {
namespace {

using RoutingFixture::at;
using RoutingFixture::target;

EntryRecord recordOf(const std::string &id, const std::string &domain = "n1",
                     bool issuesPermits = true)
{
    EntryRecord record;
    record.instance = InstanceId(id);
    record.domain = FailureDomainId(domain);
    record.region = RegionId("north");
    record.incarnation = Incarnation(1);
    record.issuesPermits = issuesPermits;
    record.issuesColdPermits = issuesPermits;
    return record;
}

/// An entry that is not serving, so that another one issues all permits.
class TargetPermitsTest : public testing::Test
{
protected:
    void join(const std::vector<EntryRecord> &records, double time)
    {
        m_membership.setRecords(records);
        for (const EntryRecord &it : records) {
            m_membership.merge({ GossipMemberState{ it.instance, it.incarnation, ++m_beat, true } },
                               at(time));
        }
    }
    void obtain(double time)
    {
        m_granted.reset();
        m_permits.obtain(target("t1"), m_coldRate, at(time),
                         [this](bool isGranted) { m_granted = isGranted; });
    }
    /// Asks this entry for permits, one a millisecond for three seconds, and returns how many it
    /// grants.
    int grantedInThreeSeconds()
    {
        int granted = 0;
        const PermitRequest request{ TargetId("t1"), FailureDomainId("n1"), {}, RequestRate{ 10 } };
        for (int i = 0; i < 3'000; ++i) {
            granted += m_permits.answer(request, at(1 + i * 0.001)).isGranted ? 1 : 0;
        }
        return granted;
    }
    void reply(const PermitReply &reply, double time)
    {
        const TargetPermits::ReplySlot replied = m_asked.back();
        replied(&reply, at(time));
    }

    std::uint64_t m_beat = 0;
    EntryMembership m_membership{ recordOf("own"), 1 };
    TargetLimits m_limits;
    std::vector<InstanceId> m_issuers;
    std::vector<TargetPermits::ReplySlot> m_asked;
    TargetPermits m_permits{ m_membership, m_limits,
                             [this](const InstanceId &issuer, const PermitRequest &,
                                    const TargetPermits::ReplySlot &replied) {
                                 m_issuers.push_back(issuer);
                                 m_asked.push_back(replied);
                             } };
    std::optional<bool> m_granted;
    std::optional<RequestRate> m_coldRate;
};

// Guards against a process that was suspended and uses a permit that is no longer valid.
TEST_F(TargetPermitsTest, PermitOfBeforeASuspensionIsNotUsed)
{
    join({ recordOf("e1") }, 0);
    m_limits.onStated(TargetId("t1"), RequestRate{ 5 }, at(0));
    obtain(0);
    reply(PermitReply{ true, milliseconds(0), m_limits.find(TargetId("t1")) }, 0.1);
    EXPECT_EQ(m_granted, true);
    obtain(1);
    reply(PermitReply{ true, milliseconds(0), m_limits.find(TargetId("t1")) }, 4);
    EXPECT_EQ(m_granted, false);
}

// Guards against permits while the registered entries, and so the issuer, are unknown.
TEST_F(TargetPermitsTest, NothingIsGrantedBeforeTheEntriesAreKnown)
{
    m_membership.setServing(true);
    m_limits.onStated(TargetId("t1"), RequestRate{ 5 }, at(0));
    obtain(0);
    EXPECT_EQ(m_granted, false);
    EXPECT_TRUE(m_asked.empty());
}

// Guards against an issuer that cannot issue permits, because it runs an older build or stops.
TEST_F(TargetPermitsTest, OlderAndStoppingEntriesAreNotAsked)
{
    join({ recordOf("old", "n1", false), recordOf("new", "s1") }, 0);
    obtain(0);
    EXPECT_EQ(m_issuers, std::vector<InstanceId>{ InstanceId("new") });
    m_membership.merge({ GossipMemberState{ InstanceId("new"), Incarnation(1), ++m_beat, false } },
                       at(0));
    obtain(0);
    EXPECT_EQ(m_granted, false);
}

// Guards against two entries that both issue the permits of a target: one that is asked although
// another is the issuer declines.
TEST_F(TargetPermitsTest, AnEntryThatIsNotTheIssuerDeclines)
{
    join({ recordOf("e1") }, 0);
    const PermitRequest request{ TargetId("t1"), FailureDomainId("n1"),
                                 TargetLimit{ RequestRate{ 100 }, LimitVersion(1) }, std::nullopt };
    for (int i = 0; i < 20; ++i) {
        EXPECT_FALSE(m_permits.answer(request, at(0.1 * i)).isGranted);
    }
}

// Guards against more permits for a cold target than it tolerates: 10 per second.
TEST_F(TargetPermitsTest, IssuerGrantsNoMoreThanTheColdRate)
{
    m_membership.setServing(true);
    join({}, 0);
    const int granted = grantedInThreeSeconds();
    EXPECT_LE(granted, 3 * 10);
    EXPECT_GE(granted, 3 * 8);
}

// Guards against a cold rate that is exceeded during an update: entries of an older build send
// their shares of it without permits, and do not know what they would have to issue.
TEST_F(TargetPermitsTest, OlderEntriesHaveTheirShareOfTheColdRate)
{
    EntryRecord old = recordOf("old");
    old.issuesColdPermits = false;
    m_membership.setServing(true);
    join({ old }, 1);
    m_coldRate = RequestRate{ 10 };
    obtain(1);
    EXPECT_TRUE(m_issuers.empty());
    const int granted = grantedInThreeSeconds();
    EXPECT_LE(granted, 3 * 5 + 1);
    EXPECT_GE(granted, 3 * 4);
}

// Guards against a cold target that is asked for again before a permit can be available.
TEST_F(TargetPermitsTest, ColdTargetIsLeftOutUntilTheNextPermit)
{
    join({ recordOf("e1") }, 0);
    m_coldRate = RequestRate{ 10 };
    obtain(0);
    reply(PermitReply{ false, milliseconds(120), {} }, 0.05);
    EXPECT_EQ(m_granted, false);
    EXPECT_EQ(m_limits.exhaustedUntil(TargetId("t1")), at(0.17));
    EXPECT_FALSE(m_limits.isLimited(TargetId("t1")));
    EXPECT_TRUE(m_limits.recentChanges(at(0.1)).empty());
}

// Guards against waiting for an issuer that does not reply: the target is left out for a while.
TEST_F(TargetPermitsTest, WithoutAReplyTheTargetIsLeftOut)
{
    join({ recordOf("e1") }, 0);
    m_limits.onStated(TargetId("t1"), RequestRate{ 5 }, at(0));
    obtain(0);
    m_asked.back()(nullptr, at(0.15));
    EXPECT_EQ(m_granted, false);
    EXPECT_GT(m_limits.exhaustedUntil(TargetId("t1")), at(0.15));
    EXPECT_LE(m_limits.exhaustedUntil(TargetId("t1")), at(1));
}

} // namespace
} // namespace Tarragon
