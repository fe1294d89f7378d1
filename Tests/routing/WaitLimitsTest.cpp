#include "routing/WaitLimits.h"

#include "RoutingFixture.h"
#include "routing/RefusalPolicy.h"

#include <gtest/gtest.h>

namespace Tarragon {
namespace {

using RoutingFixture::at;

WaitLimitQuery queryOf(const Urgency &urgency, milliseconds limit, milliseconds processingTime)
{
    return WaitLimitQuery{ urgency, limit, processingTime };
}

// Guards against refusals of requests that compete with no more urgent ones.
TEST(WaitLimitsTest, MostUrgentKindKeepsItsOwnLimit)
{
    WaitLimits limits;
    const WaitLimitQuery other = queryOf({ 0, 1 }, milliseconds(400), milliseconds(100));
    EXPECT_EQ(limits.limitFor(other, at(0)).limit, milliseconds(400));
    const WaitLimitQuery urgent = queryOf({ 0, 0 }, milliseconds(100), milliseconds(100));
    EXPECT_EQ(limits.limitFor(urgent, at(0)).limit, milliseconds(100));
    EXPECT_EQ(limits.limitFor(other, at(1.9)).limit, milliseconds(70));
    EXPECT_EQ(limits.limitFor(other, at(2.1)).limit, milliseconds(400));
}

// Guards against an order that ignores the workspace's priority, or in which it does not precede
// the route's, and against queues that are compared in time instead of requests.
TEST(WaitLimitsTest, EachClassIsRefusedBeforeTheNextMoreUrgentOne)
{
    WaitLimits limits;
    limits.limitFor(queryOf({ 0, 3 }, milliseconds(100), milliseconds(100)), at(0));
    const WaitLimit second =
            limits.limitFor(queryOf({ 1, 0 }, milliseconds(400), milliseconds(50)), at(0));
    EXPECT_EQ(second.limit, milliseconds(35));
    EXPECT_EQ(second.rank, 1u);
    const WaitLimit third =
            limits.limitFor(queryOf({ 1, 1 }, milliseconds(400), milliseconds(100)), at(0));
    EXPECT_EQ(third.limit, milliseconds(49));
    EXPECT_EQ(third.rank, 2u);
}

// Guards against less urgent callers that return before more urgent ones, or callers that return
// all at once.
TEST(RefusalPolicyTest, UrgentCallersReturnFirst)
{
    RetryReservations reservations;
    const BusyTarget target{ &reservations, milliseconds(50), microseconds(0), milliseconds(100),
                             SlotCount{ 4 } };
    const auto retryAfter = [&target](const Urgency &urgency, std::size_t rank) {
        return RefusalPolicy::reserveRetry({ target }, RefusedRequest{ urgency, rank, 0 }, 1, at(0))
                .retryAfter;
    };
    EXPECT_EQ(retryAfter({ 0, 1 }, 1), milliseconds(50));
    EXPECT_EQ(retryAfter({ 0, 1 }, 1), milliseconds(75));
    EXPECT_EQ(retryAfter({ 0, 0 }, 0), milliseconds(50));
    for (int i = 0; i < 100; ++i) {
        retryAfter({ 0, 0 }, 0);
    }
    EXPECT_EQ(retryAfter({ 0, 0 }, 0), milliseconds(1'000));
    for (int i = 0; i < 100; ++i) {
        retryAfter({ 0, 1 }, 1);
    }
    EXPECT_EQ(retryAfter({ 0, 1 }, 1), milliseconds(1'250));
}

} // namespace
} // namespace Tarragon
