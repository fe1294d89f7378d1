#include "routing/UsageIssuer.h"

#include <gtest/gtest.h>

namespace Tarragon {
namespace {

using namespace std::chrono_literals;

constexpr MonotonicTime Start{ seconds(1'000) };
constexpr std::size_t Entries = 71;

class UsageIssuerTest : public testing::Test
{
protected:
    /// Asks an issuer with a cap of 100 requests per second and a burst of 100.
    UsageReply ask(std::uint32_t needed, MonotonicTime now, double fraction = 1,
                   const UsageTenure::Start &start = { Start, false })
    {
        UsageRequest request = m_request;
        request.needed = needed;
        return m_issuer.issue(request, fraction, Entries, start, now);
    }

    UsageIssuer m_issuer;
    UsageRequest m_request{ WorkspaceName("w"), UsageCap{ 100, 100 }, RouteVersion(2) };
};

// Guards against a new issuer that adds a full bucket to what its predecessor granted.
TEST_F(UsageIssuerTest, StartsEmptyAndAtAFractionOfTheRate)
{
    EXPECT_EQ(ask(100, Start).granted, 0U);
    EXPECT_EQ(ask(100, Start + 1s).granted, 30U);
    EXPECT_EQ(ask(100, Start + 1'500ms).granted, 15U);
    EXPECT_EQ(ask(100, Start + 2s).granted, 50U);
}

// Guards against refusals of the first requests of a workspace that was idle.
TEST_F(UsageIssuerTest, FillsWhileNobodyAsks)
{
    EXPECT_EQ(ask(200, Start + 10s).granted, 100U);
}

// Guards against refusals in the first second and a half after a start of all entries.
TEST_F(UsageIssuerTest, FillsAtTheRateIfAllEntriesStartedTogether)
{
    EXPECT_EQ(ask(100, Start + 500ms, 1, { Start, true }).granted, 50U);
}

// Guards against an entry that regains the role of the issuer with a bucket that has filled while
// another entry granted tokens.
TEST_F(UsageIssuerTest, StartsAgainAfterItWasReplaced)
{
    EXPECT_EQ(ask(1, Start + 10s).granted, 1U);
    EXPECT_EQ(ask(100, Start + 20s, 1, { Start + 20s, false }).granted, 0U);
}

// Guards against a side of a partition that uses the whole cap.
TEST_F(UsageIssuerTest, GrantsAFractionInAMinority)
{
    EXPECT_EQ(ask(100, Start + 10s, 0.1).granted, 10U);
    EXPECT_EQ(ask(100, Start + 11s, 0.1).granted, 10U);
}

// Guards against a lowered cap of which the full bucket is granted, and against the higher cap of
// an entry that does not know the lower one yet.
TEST_F(UsageIssuerTest, ANewerCapAppliesAtOnce)
{
    EXPECT_EQ(ask(1, Start + 10s).granted, 1U);
    m_request.cap = UsageCap{ 10, 10 };
    m_request.version = RouteVersion(3);
    EXPECT_EQ(ask(100, Start + 10s).granted, 10U);
    m_request.cap = UsageCap{ 100, 100 };
    m_request.version = RouteVersion(2);
    EXPECT_EQ(ask(100, Start + 11s).granted, 10U);
}

// Guards against tokens for expected requests that leave none for requests that wait, and against
// a refusal without its time.
TEST_F(UsageIssuerTest, KeepsHalfOfTheBucketForWaitingRequests)
{
    m_request.expected = 500;
    EXPECT_EQ(ask(0, Start + 10s).granted, 50U);
    const UsageReply reply = ask(60, Start + 10s);
    EXPECT_EQ(reply.granted, 50U);
    EXPECT_GT(reply.retryAfter, 0ms);
    EXPECT_GT(reply.askAgainAfter, 0ms);
}

// Guards against returned tokens that are lost, or that fill the bucket beyond its capacity.
TEST_F(UsageIssuerTest, GrantsReturnedTokensAgain)
{
    EXPECT_EQ(ask(100, Start + 10s).granted, 100U);
    m_request.returned = 20;
    EXPECT_EQ(ask(100, Start + 10s).granted, 20U);
    m_request.returned = 10'000;
    EXPECT_EQ(ask(1'000, Start + 10s).granted, 100U);
}

} // namespace
} // namespace Tarragon
