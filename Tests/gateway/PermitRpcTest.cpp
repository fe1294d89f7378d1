#include "gateway/PermitRpc.h"

#include "base/Error.h"

#include <capnp/message.h>
#include <gtest/gtest.h>

#include <limits>

namespace Tarragon {
namespace {

/// Decodes a request for a permit that states this cold rate.
PermitRequest decodeWithColdRate(double perSecond)
{
    capnp::MallocMessageBuilder message;
    PeerRpc::Peer::RequestPermitParams::Builder params =
            message.initRoot<PeerRpc::Peer::RequestPermitParams>();
    params.setTarget("t1");
    params.setFailureDomain("d1");
    params.setColdPerSecond(perSecond);
    return decodePermitRequest(params.asReader());
}

// Guards against a warm target that is taken for cold, in messages of older builds too, which do
// not state the rate.
TEST(PermitRpcTest, ColdRateOfZeroMeansAWarmTarget)
{
    EXPECT_EQ(decodeWithColdRate(0).coldRate, std::nullopt);
    EXPECT_EQ(decodeWithColdRate(5.1).coldRate, RequestRate{ 5.1 });
}

// Guards against a malformed cold rate that permits any number of requests, or none for good.
TEST(PermitRpcTest, RejectsMalformedColdRates)
{
    for (const double it : { -1.0, std::numeric_limits<double>::infinity(),
                             std::numeric_limits<double>::quiet_NaN() }) {
        EXPECT_THROW(decodeWithColdRate(it), Error) << it;
    }
}

} // namespace
} // namespace Tarragon
