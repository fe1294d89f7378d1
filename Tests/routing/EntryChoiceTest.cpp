// Measures which entries lookups name, for 10,000 callers, without a network.

#include "routing/EntryChoice.h"

#include "RoutingFixture.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <map>
#include <numeric>
#include <set>

namespace Tarragon {
namespace {

using RoutingFixture::at;

constexpr int Callers = 10'000;
/// Part of a caller's connections that go to each entry.
using Traffic = std::map<InstanceId, double>;

/// One region: a sixth of the entries have 0.5 of a core, the others 0.1.
std::vector<EntryRecord> unequalEntries(int first, int count)
{
    std::vector<EntryRecord> records;
    for (int i = first; i < first + count; ++i) {
        EntryRecord record;
        record.instance = InstanceId("e" + std::to_string(i));
        record.region = RegionId("north");
        record.incarnation = Incarnation(1);
        record.capacity = Cores{ i % 6 == 0 ? 0.5 : 0.1 };
        records.push_back(record);
    }
    return records;
}

/// The view of the entry `self`, to which all others are live except `failed`.
EntryMembership membershipOf(const std::vector<EntryRecord> &records, std::size_t self = 0,
                             const std::set<InstanceId> &failed = {})
{
    EntryMembership membership(records.at(self), 1);
    membership.setRecords(records);
    membership.setServing(true);
    std::vector<GossipMemberState> states;
    for (const EntryRecord &it : records) {
        if (!failed.contains(it.instance)) {
            states.push_back(GossipMemberState{ it.instance, it.incarnation, 1, true });
        }
    }
    membership.merge(states, at(0));
    return membership;
}

std::vector<EntryRecord> namedTo(int caller, const EntryMembership &membership)
{
    const std::string address =
            "10.0." + std::to_string(caller / 256) + "." + std::to_string(caller % 256);
    return chooseEntries(membership, RouteTable(), "stand.example", RegionId("north"), address,
                         at(1));
}

Traffic trafficOf(int caller, const EntryMembership &membership)
{
    const std::vector<EntryRecord> entries = namedTo(caller, membership);
    Traffic traffic;
    for (const EntryRecord &it : entries) {
        traffic[it.instance] = 1 / static_cast<double>(entries.size());
    }
    return traffic;
}

double capacityOf(const std::vector<EntryRecord> &records)
{
    return std::accumulate(
            records.begin(), records.end(), 0.0,
            [](double sum, const EntryRecord &it) { return sum + it.capacity->value; });
}

/// Returns the part of a caller's traffic that is at another entry after the change.
double movedTraffic(int caller, const EntryMembership &before, const EntryMembership &after)
{
    const Traffic earlier = trafficOf(caller, before);
    double moved = 0;
    for (const auto &[entry, part] : trafficOf(caller, after)) {
        const auto it = earlier.find(entry);
        moved += std::max(0.0, part - (it == earlier.end() ? 0 : it->second));
    }
    return moved;
}

/// Returns how much traffic moves when `changed` of `count` entries leave, or return, in multiples
/// of the change of their capacities' parts. Averages over six choices of these entries, each for
/// a sixth of the callers, so that every choice includes each size equally often.
double moveRatio(int count, int changed)
{
    constexpr int Choices = 6;
    const std::vector<EntryRecord> all = unequalEntries(0, count);
    const EntryMembership before = membershipOf(all);
    double moved = 0;
    double least = 0;
    for (int choice = 0; choice < Choices; ++choice) {
        std::vector<EntryRecord> remaining;
        for (int i = 0; i < count; ++i) {
            const bool leaves = (i + count - choice) % count < changed;
            if (!leaves) {
                remaining.push_back(all[static_cast<std::size_t>(i)]);
            }
        }
        const EntryMembership after = membershipOf(remaining);
        for (int caller = choice; caller < Callers; caller += Choices) {
            moved += movedTraffic(caller, before, after);
            least += 1 - capacityOf(remaining) / capacityOf(all);
        }
    }
    return moved / least;
}

/// Largest deviation of an entry's traffic from its part of the capacity.
double worstDeviation(const std::vector<EntryRecord> &records)
{
    const EntryMembership membership = membershipOf(records);
    Traffic total;
    for (int caller = 0; caller < Callers; ++caller) {
        for (const auto &[entry, part] : trafficOf(caller, membership)) {
            total[entry] += part / Callers;
        }
    }
    double worst = 0;
    for (const EntryRecord &it : records) {
        const double due = it.capacity->value / capacityOf(records);
        worst = std::max(worst, std::abs(total[it.instance] / due - 1));
    }
    return worst;
}

// Guards against small entries that get as much traffic as large ones, or none at all.
TEST(EntryChoiceTest, TrafficFollowsCapacities)
{
    const double region = worstDeviation(unequalEntries(0, 24));
    RecordProperty("of24", std::to_string(region));
    EXPECT_LT(region, 0.1);
    // Each small entry is named to 500 of the callers, so that chance alone makes 0.13 likely.
    const double large = worstDeviation(unequalEntries(0, 96));
    RecordProperty("of96", std::to_string(large));
    EXPECT_LT(large, 0.25);
}

// Guards against callers that change entries although theirs remain, when others join or leave.
TEST(EntryChoiceTest, FewCallersMoveWhenEntriesJoinOrLeave)
{
    for (const auto &[count, changed] : std::vector<std::pair<int, int>>{
                 { 24, 1 }, { 24, 6 }, { 96, 1 }, { 96, 5 }, { 96, 24 } }) {
        const double ratio = moveRatio(count, changed);
        const std::string name = std::to_string(changed) + "of" + std::to_string(count);
        RecordProperty("moves" + name, std::to_string(ratio));
        EXPECT_LE(ratio, 1.1) << name;
    }
}

// Guards against responses that depend on the entry that answers, and against a failed entry whose
// callers are left without others.
TEST(EntryChoiceTest, AllEntriesNameTheSameAndReplaceOnlyAFailedOne)
{
    const std::vector<EntryRecord> records = unequalEntries(0, 24);
    const InstanceId failed("e1");
    const EntryMembership first = membershipOf(records);
    const EntryMembership second = membershipOf(records, 7);
    const EntryMembership after = membershipOf(records, 0, { failed });
    for (int caller = 0; caller < Callers; ++caller) {
        const Traffic named = trafficOf(caller, first);
        ASSERT_EQ(named, trafficOf(caller, second));
        ASSERT_EQ(named.size(), SampledEntriesPerResponse);
        const Traffic later = trafficOf(caller, after);
        ASSERT_EQ(later.size(), SampledEntriesPerResponse);
        ASSERT_FALSE(later.contains(failed));
    }
}

// Guards against lookups that name only some entries where capacities are equal, or where an entry
// of an older build states none.
TEST(EntryChoiceTest, AllEntriesAreNamedWithoutDifferingCapacities)
{
    std::vector<EntryRecord> records = unequalEntries(0, 24);
    records[5].capacity.reset();
    EXPECT_EQ(namedTo(1, membershipOf(records)).size(), 24u);
    for (EntryRecord &it : records) {
        it.capacity = Cores{ 0.1 };
    }
    EXPECT_EQ(namedTo(1, membershipOf(records)).size(), 24u);
}

// Guards against callers that change entries because some of many equal ones join.
TEST(EntryChoiceTest, CallersOfALargeRegionKeepTheirEntries)
{
    std::vector<EntryRecord> records = unequalEntries(0, 105);
    for (EntryRecord &it : records) {
        it.capacity.reset();
    }
    const std::vector<EntryRecord> fewer(records.begin(), records.end() - 5);
    const EntryMembership before = membershipOf(fewer);
    const EntryMembership after = membershipOf(records);
    double moved = 0;
    for (int caller = 0; caller < Callers; ++caller) {
        moved += movedTraffic(caller, before, after) / Callers;
    }
    EXPECT_LE(moved, 1.1 * 5 / 105);
}

} // namespace
} // namespace Tarragon
