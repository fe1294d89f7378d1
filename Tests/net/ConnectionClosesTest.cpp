#include "net/ConnectionCloses.h"

#include <gmock/gmock.h>

namespace Tarragon {
namespace {

using testing::HasSubstr;

constexpr MonotonicTime Now{ seconds(100) };

// Guards against closes that lose responses being counted like others.
TEST(ConnectionClosesTest, UnacknowledgedClosesAreCountedApart)
{
    ConnectionCloses closes;
    closes.record(CloseCause::Response, 0, 0, Now);
    closes.record(CloseCause::BreakOff, 1, 0, Now);
    EXPECT_EQ(closes.counts().closes, 2u);
    EXPECT_EQ(closes.counts().unacknowledged, 1u);
    EXPECT_THAT(closes.metricsText("p"), HasSubstr("p_closes_total 2\n"));
    EXPECT_THAT(closes.metricsText("p"), HasSubstr("p_unacknowledged_closes_total 1\n"));
}

// Guards against systems that do not tell the size of a socket's queue.
TEST(ConnectionClosesTest, UnknownSizesCountAsAcknowledged)
{
    ConnectionCloses closes;
    closes.record(CloseCause::Idle, std::nullopt, std::nullopt, Now);
    EXPECT_EQ(closes.counts().closes, 1u);
    EXPECT_EQ(closes.counts().unacknowledged, 0u);
}

} // namespace
} // namespace Tarragon
