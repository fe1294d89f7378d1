#include "base/Digest.h"

#include <gtest/gtest.h>

namespace Tarragon {
namespace {

// The digests are part of object names in the store, so that they must not differ between versions.
TEST(Digest, Sha256MatchesThePublishedVector)
{
    EXPECT_EQ(sha256Hex("abc"), "ba7816bf8f01cfea414140de5dae2223b00361a396177a9cb410ff61f20015ad");
}

TEST(Digest, StableHashDependsOnDataAndSeed)
{
    EXPECT_EQ(stableHash("target-1", 7), stableHash("target-1", 7));
    EXPECT_NE(stableHash("target-1", 7), stableHash("target-1", 8));
    EXPECT_NE(stableHash("target-1", 7), stableHash("target-2", 7));
}

} // namespace
} // namespace Tarragon
