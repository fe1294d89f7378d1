#include "base/Verdict.h"

#include <gtest/gtest.h>

namespace Tarragon {
namespace {

// Guards against a rejected retry that hides that the first attempt may have run.
TEST(Verdict, CombinedKeepsTheVerdictWithMoreProgress)
{
    EXPECT_EQ(combined(Verdict::NotRun, Verdict::MayHaveRun), Verdict::MayHaveRun);
    EXPECT_EQ(combined(Verdict::Ran, Verdict::NotRun), Verdict::Ran);
}

TEST(Verdict, ParsesItsOwnSpellingOnly)
{
    EXPECT_EQ(parseVerdict("may-have-run"), Verdict::MayHaveRun);
    EXPECT_EQ(parseVerdict("Ran"), std::nullopt);
}

} // namespace
} // namespace Tarragon
