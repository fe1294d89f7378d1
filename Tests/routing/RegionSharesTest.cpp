#include "routing/RegionShares.h"

#include <gtest/gtest.h>

#include <cmath>
#include <random>

namespace Tarragon {
namespace {

const RegionId North("north");
const RegionId Middle("middle");
const RegionId South("south");

double shareOf(const RegionShares &shares, const RegionId &region)
{
    for (const auto &[id, share] : shares) {
        if (id == region) {
            return share;
        }
    }
    return 0;
}

// Guards against a region that gets more requests than its slots can serve while others have
// capacity.
TEST(RegionSharesTest, AllRegionsAreUsedEquallyByEqualCallers)
{
    std::mt19937_64 random(7);
    for (int round = 0; round < 500; ++round) {
        const RegionSlots slots{ { North, double(random() % 50) },
                                 { Middle, double(random() % 50) },
                                 { South, 1 + double(random() % 50) } };
        const std::vector<RegionId> callers{ North, Middle, South };
        std::map<RegionId, double> use;
        double total = 0;
        for (const RegionId &from : callers) {
            double sum = 0;
            for (const auto &[region, share] : regionShares(slots, callers, from)) {
                use[region] += share;
                sum += share;
            }
            EXPECT_NEAR(sum, 1, 1e-9);
        }
        for (const auto &[region, count] : slots) {
            total += count;
        }
        for (const auto &[region, count] : slots) {
            EXPECT_NEAR(use[region] / 3, count / total, 1e-9);
        }
    }
}

// Guards against traffic between regions that the distribution of slots does not require.
TEST(RegionSharesTest, RequestsStayInTheirRegionWhereSlotsAllow)
{
    const RegionSlots slots{ { North, 36 }, { Middle, 12 }, { South, 24 } };
    const std::vector<RegionId> callers{ North, Middle, South };
    EXPECT_DOUBLE_EQ(shareOf(regionShares(slots, callers, North), North), 1);
    EXPECT_DOUBLE_EQ(shareOf(regionShares(slots, callers, South), South), 1);
    EXPECT_DOUBLE_EQ(shareOf(regionShares(slots, callers, Middle), Middle), 0.5);
    EXPECT_DOUBLE_EQ(shareOf(regionShares(slots, callers, Middle), North), 0.5);
}

// Guards against requests that stay in a region without targets, and against a failure if a service
// has no targets at all.
TEST(RegionSharesTest, RegionsWithoutSlotsGetNothing)
{
    const RegionShares shares = regionShares({ { South, 4 } }, { North, South }, North);
    ASSERT_EQ(shares.size(), 1u);
    EXPECT_EQ(shares.front().first, South);
    EXPECT_TRUE(regionShares({}, { North }, North).empty());
}

} // namespace
} // namespace Tarragon
