#include "routing/TargetRanking.h"

#include "base/Digest.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <random>
#include <string>
#include <tuple>

namespace Tarragon {
namespace {

const RegionId North("north");
const RegionId South("south");
const FailureDomainId NorthDomain("n1");

std::vector<RankingTarget> targetsIn(const RegionId &region, int count, int slots)
{
    std::vector<RankingTarget> targets;
    for (int i = 0; i < count; ++i) {
        const std::uint64_t hash = stableHash(region.value() + std::to_string(i));
        const FailureDomainId domain(i % 2 == 0 ? region.value().substr(0, 1) + "1" : "other");
        targets.push_back({ hash, SlotCount{ slots + i % 3 }, domain, region });
    }
    return targets;
}

std::vector<RankingTarget> twoRegions(int northCount, int southCount, int northSlots,
                                      int southSlots)
{
    std::vector<RankingTarget> targets = targetsIn(North, northCount, northSlots);
    const std::vector<RankingTarget> others = targetsIn(South, southCount, southSlots);
    targets.insert(targets.end(), others.begin(), others.end());
    return targets;
}

/// An entry in "north", which is the only region with entries and sends to "south" what exceeds its
/// part of the slots.
TargetRanking ranking(const std::vector<RankingTarget> &targets)
{
    TargetRanking ranking(EntryLocality{ NorthDomain, North, { { NorthDomain, North } } });
    ranking.setTargets(targets);
    return ranking;
}

constexpr auto All = [](const auto &) { return true; };

// Guards against more objects changing their region than a small change of the shares requires.
TEST(TargetRankingTest, ObjectsKeepTheirRegionWhenSharesMoveALittle)
{
    TargetRanking before = ranking(twoRegions(1, 1, 50, 50));
    TargetRanking after = ranking(twoRegions(1, 1, 55, 45));
    int moved = 0;
    for (std::uint64_t i = 0; i < 10'000; ++i) {
        const RankingQuery query{ stableHash(std::to_string(i)), 1 };
        moved += before.select(query, All, All)[0] != after.select(query, All, All)[0] ? 1 : 0;
    }
    EXPECT_LE(moved, 600);
    EXPECT_GE(moved, 400);
}

// Guards against a selection without sorting that differs from the order of the scores, which
// would give entries different affinity targets for an object.
TEST(TargetRankingTest, TheSelectionEqualsTheSortedOrder)
{
    std::mt19937_64 random(3);
    for (int round = 0; round < 2'000; ++round) {
        const auto north = static_cast<int>(random() % 9);
        const std::vector<RankingTarget> targets =
                twoRegions(north, static_cast<int>(random() % 9), 3, 5);
        TargetRanking tested = ranking(targets);
        const std::uint64_t barred = random();
        const auto isUsable = [barred](std::size_t position) {
            return (barred >> position & 1U) == 0;
        };
        const RankingQuery query{ random(), 1 + random() % 4, random() % 2 == 0 };
        const std::span<const std::size_t> first = tested.select({ query.key, 1 }, All, All);
        if (first.empty()) {
            continue;
        }
        const RegionId preferred = targets[first[0]].region;
        std::vector<std::tuple<int, double, std::size_t>> order;
        for (std::size_t i = 0; i < targets.size(); ++i) {
            const RankingTarget &it = targets[i];
            const bool isFirst =
                    query.prefersNear ? it.domain == NorthDomain : it.region == preferred;
            const int tier = isFirst ? 0 : it.region == North ? 1 : 2;
            if (isUsable(i)) {
                order.emplace_back(tier, rendezvousScore(query.key, it.hash, it.slots.value), i);
            }
        }
        std::sort(order.begin(), order.end());
        std::vector<std::size_t> expected;
        bool hasPreferred = !query.prefersNear;
        for (const auto &[tier, score, position] : order) {
            const bool isPreferred = targets[position].region == preferred;
            if (expected.size() < query.count || (!hasPreferred && isPreferred)) {
                expected.push_back(position);
                hasPreferred = hasPreferred || isPreferred;
            }
        }
        const std::span<const std::size_t> selected = tested.select(query, All, isUsable);
        EXPECT_EQ(std::vector<std::size_t>(selected.begin(), selected.end()), expected);
    }
}

// Guards against targets in regions that the route or the workspace excludes.
TEST(TargetRankingTest, OnlyTargetsInAllowedRegionsAreSelected)
{
    TargetRanking tested = ranking(twoRegions(3, 3, 3, 5));
    for (std::uint64_t key = 0; key < 100; ++key) {
        const std::span<const std::size_t> selected = tested.select(
                { stableHash(std::to_string(key)), 6 },
                [](const RegionId &it) { return it == South; }, All);
        EXPECT_EQ(selected.size(), 3u);
        EXPECT_TRUE(std::all_of(selected.begin(), selected.end(),
                                [](std::size_t it) { return it >= 3; }));
    }
}

} // namespace
} // namespace Tarragon
