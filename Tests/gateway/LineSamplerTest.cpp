#include "gateway/LineSampler.h"

#include <gtest/gtest.h>

namespace Tarragon {
namespace {

MonotonicTime at(milliseconds time)
{
    return MonotonicTime(time);
}

// Guards against lines of successful requests that take the processor or the log of a busy gateway,
// and against losses that nobody can see.
TEST(LineSamplerTest, KeepsTheRateAndTellsWhatWasLeftOut)
{
    const LogBuffer buffer(1'000);
    LineSampler sampler(buffer, 10);
    std::uint64_t taken = 0;
    std::uint64_t told = 0;
    for (int i = 0; i < 1'000; ++i) {
        if (const std::optional<std::uint64_t> since =
                    sampler.admit(at(seconds(100) + milliseconds(i)))) {
            ++taken;
            told += *since;
        }
    }
    // A burst of a second's lines and those of the second itself.
    EXPECT_GE(taken, 19u);
    EXPECT_LE(taken, 20u);
    EXPECT_EQ(sampler.skipped(), 1'000u - taken);
    told += sampler.admit(at(seconds(200))).value_or(0);
    EXPECT_EQ(told, sampler.skipped());
}

// Guards against lines of successes that leave no room for those of failures while the reader of
// the log has stopped.
TEST(LineSamplerTest, LeavesACrowdedLogToOtherLines)
{
    LogBuffer buffer(1'000);
    LineSampler sampler(buffer, 1'000);
    buffer.add(std::string(400, 'x'));
    EXPECT_TRUE(sampler.admit(at(seconds(1))).has_value());
    buffer.add(std::string(200, 'x'));
    EXPECT_FALSE(sampler.admit(at(seconds(2))).has_value());
    EXPECT_TRUE(buffer.add(std::string(300, 'x')));
    buffer.consume(900);
    EXPECT_EQ(sampler.admit(at(seconds(3))), 1u);
}

} // namespace
} // namespace Tarragon
