#include "routing/UsageTokens.h"

#include <gtest/gtest.h>

namespace Tarragon {
namespace {

using namespace std::chrono_literals;

constexpr MonotonicTime Start{ seconds(1'000) };

/// Lets requests arrive and run for 4 s at 100 per second.
MonotonicTime run(UsageTokens &tokens)
{
    MonotonicTime now = Start;
    for (int i = 0; i < 400; ++i, now += 10ms) {
        tokens.onDemand(now);
        tokens.add(1, now);
        EXPECT_TRUE(tokens.take(now));
    }
    return now;
}

/// Returns the number of requests, one per ms, that run without the issuer.
int takenWithoutIssuer(UsageTokens &tokens, MonotonicTime begin, milliseconds time)
{
    int count = 0;
    for (milliseconds i{ 0 }; i < time; ++i) {
        count += tokens.takeWithoutIssuer(begin + i) ? 1 : 0;
    }
    return count;
}

// Guards against tokens that a suspended process uses after others have used the rate again.
TEST(UsageTokensTest, TokensExpireByTheTimeOfTheCall)
{
    UsageTokens tokens;
    tokens.add(2, Start);
    EXPECT_TRUE(tokens.take(Start + UsageTokens::Validity - 1ms));
    EXPECT_FALSE(tokens.take(Start + UsageTokens::Validity));
    EXPECT_EQ(tokens.takeReturned(Start + UsageTokens::Validity), 1U);
    EXPECT_EQ(tokens.takeReturned(Start + 2s), 0U);
}

// Guards against a token that is lost if its request was not sent.
TEST(UsageTokensTest, GivenBackTokensAreReturned)
{
    UsageTokens tokens;
    tokens.add(1, Start);
    EXPECT_TRUE(tokens.take(Start));
    tokens.giveBack(Start);
    EXPECT_EQ(tokens.takeReturned(Start), 1U);
}

// Guards against a call for each request, and against tokens that idle at entries.
TEST(UsageTokensTest, AsksForTheNextMomentsWhenTheStockIsLow)
{
    UsageTokens tokens;
    const MonotonicTime now = run(tokens);
    const std::uint32_t expected = tokens.expectedNeed(now);
    EXPECT_GE(expected, 25U);
    EXPECT_LE(expected, 45U);
    tokens.add(expected, now);
    EXPECT_EQ(tokens.expectedNeed(now), 0U);
}

// Guards against entries that exceed the cap, or refuse everything, while the issuer is restarted.
TEST(UsageTokensTest, GoesOnForAShortTimeWithoutTheIssuer)
{
    UsageTokens tokens;
    EXPECT_EQ(takenWithoutIssuer(tokens, Start, 1s), 0);
    const MonotonicTime now = run(tokens);
    tokens.onReply(0.6, now);
    const int taken = takenWithoutIssuer(tokens, now, 4s);
    EXPECT_GE(taken, 130);
    EXPECT_LE(taken, 172);
}

// Guards against a cap that is used up and exceeded while the issuer does not reply.
TEST(UsageTokensTest, DoesNotGoOnIfTheCapIsNearlyUsed)
{
    UsageTokens tokens;
    const MonotonicTime now = run(tokens);
    tokens.onReply(0.8, now);
    EXPECT_EQ(takenWithoutIssuer(tokens, now, 1s), 0);
}

} // namespace
} // namespace Tarragon
