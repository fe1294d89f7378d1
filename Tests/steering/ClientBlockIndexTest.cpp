#include "steering/ClientBlockIndex.h"

#include "base/Error.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <random>

namespace Tarragon {
namespace {

constexpr std::uint32_t address(std::uint32_t a, std::uint32_t b, std::uint32_t c, std::uint32_t d)
{
    return a << 24U | b << 16U | c << 8U | d;
}

ClientBlockIndex::Site siteOf(const ClientBlockIndex &index, std::uint32_t address)
{
    const std::optional<ClientBlockIndex::Match> match = index.find(address);
    return match ? match->site : ClientBlockIndex::NoSite;
}

// A block nested in a larger one must be found only for its own addresses, whether it is given
// before or after the larger one. The larger block must be found for the addresses on both sides of
// it.
TEST(ClientBlockIndex, FindsTheMostSpecificOfNestedBlocks)
{
    const ClientBlockIndex index({ { address(10, 1, 128, 0), 20, 3 },
                                   { address(10, 0, 0, 0), 8, 1 },
                                   { address(10, 1, 0, 0), 17, 2 },
                                   { address(10, 1, 0, 0), 16, 6 },
                                   { address(10, 1, 64, 7), 32, 4 },
                                   { address(10, 1, 64, 0), 24, 5 } });
    EXPECT_EQ(siteOf(index, address(10, 200, 0, 1)), 1);
    EXPECT_EQ(siteOf(index, address(10, 1, 0, 0)), 2);
    EXPECT_EQ(siteOf(index, address(10, 1, 64, 6)), 5);
    EXPECT_EQ(siteOf(index, address(10, 1, 64, 7)), 4);
    EXPECT_EQ(siteOf(index, address(10, 1, 64, 8)), 5);
    EXPECT_EQ(siteOf(index, address(10, 1, 65, 0)), 2);
    EXPECT_EQ(siteOf(index, address(10, 1, 130, 0)), 3);
    EXPECT_EQ(siteOf(index, address(10, 1, 200, 0)), 6);
    EXPECT_EQ(siteOf(index, address(11, 0, 0, 0)), ClientBlockIndex::NoSite);
}

// Compares with a linear search, to detect errors in the search from a block to the blocks that
// enclose it.
TEST(ClientBlockIndex, AgreesWithALinearSearch)
{
    for (unsigned seed = 0; seed < 20; ++seed) {
        std::mt19937 random(seed);
        std::vector<ClientBlockIndex::Block> blocks;
        for (int i = 0; i < 400; ++i) {
            const auto length = static_cast<std::uint8_t>(random() % 33);
            const std::uint32_t mask = length == 0 ? 0 : ~std::uint32_t(0) << (32U - length);
            const std::uint32_t network = (address(10, 0, 0, 0) | (random() & 0x0001ffffU)) & mask;
            const auto isSame = [&](const ClientBlockIndex::Block &it) {
                return it.network == network && it.prefixLength == length;
            };
            if (std::none_of(blocks.begin(), blocks.end(), isSame)) {
                blocks.push_back({ network, length, static_cast<ClientBlockIndex::Site>(i) });
            }
        }
        const ClientBlockIndex index(blocks);
        for (int i = 0; i < 5'000; ++i) {
            const std::uint32_t caller = address(10, 0, 0, 0) | (random() & 0x0003ffffU);
            ClientBlockIndex::Site expected = ClientBlockIndex::NoSite;
            int longest = -1;
            for (const ClientBlockIndex::Block &it : blocks) {
                const std::uint32_t mask =
                        it.prefixLength == 0 ? 0 : ~std::uint32_t(0) << (32U - it.prefixLength);
                if ((caller & mask) == it.network && it.prefixLength > longest) {
                    longest = it.prefixLength;
                    expected = it.site;
                }
            }
            ASSERT_EQ(siteOf(index, caller), expected) << "seed " << seed << ", address " << caller;
        }
    }
}

TEST(ClientBlockIndex, RejectsDuplicateAndInvalidBlocks)
{
    EXPECT_THROW(
            ClientBlockIndex({ { address(10, 0, 0, 0), 8, 1 }, { address(10, 0, 0, 0), 8, 2 } }),
            Error);
    EXPECT_THROW(ClientBlockIndex({ { address(10, 0, 0, 1), 8, 1 } }), Error);
    EXPECT_THROW(ClientBlockIndex({ { address(10, 0, 0, 0), 33, 1 } }), Error);
}

// The memory limit at the maximum number of blocks allows 5 bytes for each block.
TEST(ClientBlockIndex, NeedsFiveBytesForEachBlock)
{
    std::vector<ClientBlockIndex::Block> blocks;
    for (std::uint32_t i = 0; i < 100'000; ++i) {
        blocks.push_back({ i << 8U, 24, 1 });
    }
    const std::uint64_t firstLevel = ClientBlockIndex().memory().value;
    EXPECT_EQ(ClientBlockIndex(blocks).memory().value - firstLevel, blocks.size() * 5);
}

} // namespace
} // namespace Tarragon
