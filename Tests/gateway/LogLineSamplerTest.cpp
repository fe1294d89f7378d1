#include "gateway/LogLineSampler.h"

#include <gtest/gtest.h>

namespace Tarragon {
namespace {

MonotonicTime at(milliseconds time)
{
    return MonotonicTime(time);
}

// Guards against log lines of successful requests that use up the processor or the log of a busy
// gateway, and against skipped lines that are not counted.
TEST(LogLineSamplerTest, KeepsTheRateAndReportsSkippedLines)
{
    const LogBuffer buffer(1'000);
    LogLineSampler sampler(buffer, 10);
    std::uint64_t admitted = 0;
    std::uint64_t reported = 0;
    for (int i = 0; i < 1'000; ++i) {
        if (const std::optional<std::uint64_t> since =
                    sampler.admit(at(seconds(100) + milliseconds(i)))) {
            ++admitted;
            reported += *since;
        }
    }
    // A burst of one second's lines, plus the lines of the second itself.
    EXPECT_GE(admitted, 19u);
    EXPECT_LE(admitted, 20u);
    EXPECT_EQ(sampler.skipped(), 1'000u - admitted);
    reported += sampler.admit(at(seconds(200))).value_or(0);
    EXPECT_EQ(reported, sampler.skipped());
}

// Guards against log lines of successful requests that leave no space for those of failures while
// the reader of the log has stopped.
TEST(LogLineSamplerTest, LeavesACrowdedLogToOtherLines)
{
    LogBuffer buffer(1'000);
    LogLineSampler sampler(buffer, 1'000);
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
