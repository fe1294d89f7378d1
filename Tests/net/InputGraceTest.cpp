#include "net/InputGrace.h"

#include <gtest/gtest.h>

namespace Tarragon {
namespace {

constexpr MonotonicTime Now{ seconds(100) };

// Guards against a time limit that ends before input is read that has arrived.
TEST(InputGraceTest, WaitsForInputOnly)
{
    InputGrace grace;
    EXPECT_FALSE(grace.mustWait(false, Now));
    EXPECT_TRUE(grace.mustWait(true, Now));
    EXPECT_FALSE(grace.mustWait(false, Now));
}

// Guards against a peer that extends its time limit by sending without end, however late the limit
// was noticed.
TEST(InputGraceTest, WaitIsBounded)
{
    InputGrace grace;
    EXPECT_TRUE(grace.mustWait(true, Now));
    EXPECT_TRUE(grace.mustWait(true, Now + InputGrace::MaxWait - microseconds(1)));
    EXPECT_FALSE(grace.mustWait(true, Now + InputGrace::MaxWait));
    grace.reset();
    EXPECT_TRUE(grace.mustWait(true, Now + InputGrace::MaxWait));
}

} // namespace
} // namespace Tarragon
