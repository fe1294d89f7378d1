#include "routing/EntryMembership.h"

#include "RoutingFixture.h"
#include "routing/EntryChoice.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <map>
#include <memory>

namespace Tarragon {
namespace {

using RoutingFixture::at;

/// Simulates a fleet of entries that exchange gossip in virtual time.
class EntryMembershipTest : public testing::Test
{
protected:
    static constexpr double Round = 0.4;
    static constexpr int Domains = 6;

    void makeFleet(int count, const EntryMembershipOptions &options = {})
    {
        for (int i = 0; i < count; ++i) {
            EntryRecord record;
            record.instance = InstanceId("e" + std::to_string(i));
            record.region = RegionId(i % 2 == 0 ? "north" : "south");
            record.domain = FailureDomainId("d" + std::to_string(i % Domains));
            record.incarnation = Incarnation(1);
            record.front = Endpoint{ "127.0.0.1", static_cast<std::uint16_t>(1'000 + i) };
            m_records.push_back(record);
        }
        for (int i = 0; i < count; ++i) {
            m_fleet.push_back(std::make_unique<EntryMembership>(m_records[i], i + 1, options));
            m_fleet.back()->setRecords(m_records);
            m_fleet.back()->setServing(true);
            m_up.push_back(true);
        }
    }
    /// Simulates gossip rounds; entries that are down neither send nor reply.
    void run(double from, double to)
    {
        for (double time = from; time < to; time += Round) {
            for (std::size_t i = 0; i < m_fleet.size(); ++i) {
                if (!m_up[i]) {
                    continue;
                }
                for (const InstanceId &it : m_fleet[i]->beginGossipRound()) {
                    const std::size_t j = std::stoul(it.value().substr(1));
                    m_crossDomainExchanges += m_records[i].domain == m_records[j].domain ? 0 : 1;
                    if (m_up[j]) {
                        m_fleet[j]->merge(m_fleet[i]->memberStates(at(time)), at(time));
                        m_fleet[i]->merge(m_fleet[j]->memberStates(at(time)), at(time));
                    }
                }
            }
        }
    }

    std::vector<EntryRecord> m_records;
    std::vector<std::unique_ptr<EntryMembership>> m_fleet;
    std::vector<bool> m_up;
    /// Exchanges between failure domains.
    int m_crossDomainExchanges = 0;
};

// Guards against lookups that return a failed entry for longer than 6 s, in a small and a large
// fleet.
TEST_F(EntryMembershipTest, DeadEntriesAreDroppedEverywhereInTime)
{
    for (const int count : { 9, 86 }) {
        m_records.clear();
        m_fleet.clear();
        m_up.clear();
        makeFleet(count);
        run(0, 8);
        for (const std::unique_ptr<EntryMembership> &it : m_fleet) {
            EXPECT_EQ(it->liveCount(at(8)), static_cast<std::size_t>(count));
        }
        m_up[3] = false;
        run(8, 14);
        for (std::size_t i = 0; i < m_fleet.size(); ++i) {
            if (m_up[i]) {
                EXPECT_FALSE(m_fleet[i]->isLive(InstanceId("e3"), at(14))) << i;
                EXPECT_EQ(m_fleet[i]->liveCount(at(14)), static_cast<std::size_t>(count - 1));
            }
        }
    }
}

// Guards against lookups that name an entry long after its failure, because an entry that was cut
// off meanwhile spreads a heartbeat that the others have not received.
TEST_F(EntryMembershipTest, HeartbeatThatArrivesLateDoesNotReviveAFailedEntry)
{
    makeFleet(9);
    run(0, 8);
    static_cast<void>(m_fleet[0]->beginGossipRound());
    const std::vector<GossipMemberState> lastStates = m_fleet[0]->memberStates(at(8));
    m_up[0] = false;
    run(8, 20);
    EXPECT_FALSE(m_fleet[2]->isLive(m_records[0].instance, at(20)));
    m_fleet[1]->merge(lastStates, at(20));
    for (double time = 20; time < 26; time += Round) {
        run(time, time + Round);
        for (std::size_t i = 1; i < m_fleet.size(); ++i) {
            EXPECT_FALSE(m_fleet[i]->isLive(m_records[0].instance, at(time + Round))) << i;
        }
    }
}

// Guards against lookups that name an entry long after its failure, because the first heartbeat of
// it that arrives was sent long ago: its registration was read late, or this process has started
// since.
TEST_F(EntryMembershipTest, FirstHeartbeatThatIsOldDoesNotReviveAFailedEntry)
{
    makeFleet(9);
    std::vector<EntryRecord> earlier = m_records;
    earlier.erase(earlier.begin());
    m_fleet[1]->setRecords(earlier);
    run(0, 8);
    m_up[0] = false;
    run(8, 16);
    m_fleet[1]->setRecords(m_records);
    for (double time = 16; time < 24; time += Round) {
        run(time, time + Round);
        EXPECT_FALSE(m_fleet[1]->isLive(m_records[0].instance, at(time + Round)));
    }
    m_up[0] = true;
    run(24, 27);
    EXPECT_TRUE(m_fleet[1]->isLive(m_records[0].instance, at(27)));
}

// Guards against an entry that stays out of lookups after the end of its partition.
TEST_F(EntryMembershipTest, EntryThatReturnsIsLiveAgainWithinAFewRounds)
{
    makeFleet(9);
    run(0, 8);
    m_up[0] = false;
    run(8, 20);
    m_up[0] = true;
    run(20, 23);
    for (std::size_t i = 1; i < m_fleet.size(); ++i) {
        EXPECT_TRUE(m_fleet[i]->isLive(m_records[0].instance, at(23))) << i;
    }
}

// Guards against live entries that are temporarily missing from lookups because their heartbeats
// arrive late.
TEST_F(EntryMembershipTest, LiveEntriesAreAlwaysListed)
{
    makeFleet(86);
    run(0, 8);
    for (int round = 0; round < 200; ++round) {
        const double time = 8 + round * Round;
        run(time, time + Round / 2);
        for (const std::unique_ptr<EntryMembership> &it : m_fleet) {
            ASSERT_EQ(it->liveCount(at(time)), m_fleet.size()) << "round " << round;
        }
    }
}

// Guards against traffic between failure domains that grows with the number of entries in each, and
// against gossip that is too slow because of the limit on it: heartbeats must arrive well within
// the timeout of 3 s.
TEST_F(EntryMembershipTest, ExchangesBetweenDomainsDoNotGrowWithTheirEntries)
{
    EntryMembershipOptions options;
    options.heartbeatTimeout = milliseconds(2'000);
    makeFleet(295, options);
    run(0, 8);
    m_crossDomainExchanges = 0;
    constexpr int Rounds = 30;
    for (int round = 0; round < Rounds; ++round) {
        const double time = 8 + round * Round;
        run(time, time + Round / 2);
        for (const std::unique_ptr<EntryMembership> &it : m_fleet) {
            ASSERT_EQ(it->liveCount(at(time)), m_fleet.size()) << "round " << round;
        }
    }
    EXPECT_LT(m_crossDomainExchanges, Rounds * Domains * 7);
}

// Guards against sending callers to an entry that is stopping.
TEST_F(EntryMembershipTest, LeavingEntriesAreNotReturned)
{
    makeFleet(4);
    run(0, 4);
    ASSERT_EQ(m_fleet[0]->servingEntries(RegionId("north"), at(4)).size(), 2u);
    m_fleet[2]->setServing(false);
    run(4, 6);
    EXPECT_EQ(m_fleet[0]->servingEntries(RegionId("north"), at(6)).size(), 1u);
    EXPECT_TRUE(m_fleet[0]->isLive(InstanceId("e2"), at(6)));
}

// Guards against entries of a large region that lookups never return.
TEST_F(EntryMembershipTest, LookupsOfAllCallersTogetherReturnAllEntries)
{
    makeFleet(200);
    run(0, 4);
    const RouteTable table;
    std::set<std::string> named;
    for (int caller = 0; caller < 20; ++caller) {
        const std::vector<EntryRecord> entries =
                chooseEntries(*m_fleet[0], table, "stand.example", RegionId("north"),
                              "127.0.1." + std::to_string(caller), at(4));
        EXPECT_EQ(entries.size(), MaxEntriesPerResponse);
        for (const EntryRecord &it : entries) {
            named.insert(it.instance.value());
        }
    }
    EXPECT_EQ(named.size(), 100u);
}

// Guards against states of an earlier incarnation that keep a failed entry live or hide a restarted
// one.
TEST_F(EntryMembershipTest, StatesOfAnEarlierIncarnationAreIgnored)
{
    makeFleet(2);
    run(0, 2);
    m_records[1].incarnation = Incarnation(2);
    m_fleet[0]->setRecords(m_records);
    m_fleet[0]->merge({ GossipMemberState{ InstanceId("e1"), Incarnation(1), 1'000, true } },
                      at(2));
    EXPECT_FALSE(m_fleet[0]->isLive(InstanceId("e1"), at(2)));
    m_fleet[0]->merge({ GossipMemberState{ InstanceId("e1"), Incarnation(2), 1, true } }, at(2.1));
    EXPECT_TRUE(m_fleet[0]->isLive(InstanceId("e1"), at(2.1)));
}

// Guards against lookups that return entries of other regions while the caller's region has any, or
// of regions that the host's routes do not allow.
TEST_F(EntryMembershipTest, LookupsPreferTheCallersRegionAndThenAllowedOnes)
{
    makeFleet(4);
    run(0, 4);
    RouteTable table;
    table.routes.push_back(RoutingFixture::route());
    const auto regions = [this, &table](const char *caller) {
        std::set<std::string> names;
        for (const EntryRecord &it : chooseEntries(*m_fleet[0], table, "stand.example",
                                                   RegionId(caller), "127.0.1.1", at(4))) {
            names.insert(it.region.value());
        }
        return names;
    };
    EXPECT_EQ(regions("south"), std::set<std::string>{ "south" });
    EXPECT_EQ(regions("west"), (std::set<std::string>{ "north", "south" }));
    table.routes[0].allowedRegions = { RegionId("south") };
    EXPECT_EQ(regions("west"), std::set<std::string>{ "south" });
    EXPECT_EQ(regions("north"), std::set<std::string>{ "north" });
    table.routes[0].allowedRegions = { RegionId("east") };
    EXPECT_EQ(regions("west"), (std::set<std::string>{ "north", "south" }));
}

// Guards against entries of a failure domain that disagree about its watchers, and against a failed
// entry that remains a watcher.
TEST_F(EntryMembershipTest, EntriesOfADomainAgreeOnItsWatchers)
{
    makeFleet(60);
    run(0, 8);
    std::map<FailureDomainId, std::vector<InstanceId>> watchers;
    for (std::size_t i = 0; i < m_fleet.size(); ++i) {
        const std::vector<InstanceId> own = m_fleet[i]->watchers(2, at(8));
        ASSERT_EQ(own.size(), 2u);
        EXPECT_EQ(watchers.try_emplace(m_records[i].domain, own).first->second, own);
    }
    const InstanceId dead = watchers.at(FailureDomainId("d0")).front();
    m_up[std::stoul(dead.value().substr(1))] = false;
    run(8, 16);
    const std::size_t neighbour = dead == InstanceId("e0") ? 6 : 0;
    const std::vector<InstanceId> now = m_fleet[neighbour]->watchers(2, at(16));
    EXPECT_EQ(now.size(), 2u);
    EXPECT_EQ(std::count(now.begin(), now.end(), dead), 0);
    EXPECT_EQ(m_fleet[neighbour]->domainEntryCount(), 10u);
}

} // namespace
} // namespace Tarragon
