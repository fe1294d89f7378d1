#include "gateway/UsageRpc.h"

#include "base/Error.h"

#include <capnp/message.h>
#include <gtest/gtest.h>

#include <limits>

namespace Tarragon {
namespace {

/// Decodes a call with this many requests, all with this rate and burst and the highest counts.
UsageRequests decodeCall(unsigned int count, double perSecond, double burst)
{
    capnp::MallocMessageBuilder message;
    PeerRpc::Peer::RequestUsageParams::Builder params =
            message.initRoot<PeerRpc::Peer::RequestUsageParams>();
    for (PeerRpc::UsageRequest::Builder it : params.initRequests(count)) {
        it.setWorkspace("w");
        it.setPerSecond(perSecond);
        it.setBurst(burst);
        it.setNeeded(std::numeric_limits<std::uint32_t>::max());
        it.setReturned(std::numeric_limits<std::uint32_t>::max());
    }
    return decodeUsageRequests(params.asReader());
}

// Guards against a malformed cap that grants any number of tokens, or none for good.
TEST(UsageRpcTest, RejectsMalformedCaps)
{
    for (const double it : { -1.0, std::numeric_limits<double>::infinity(),
                             std::numeric_limits<double>::quiet_NaN() }) {
        EXPECT_THROW(decodeCall(1, it, 1), Error) << it;
        EXPECT_THROW(decodeCall(1, 1, it), Error) << it;
    }
    EXPECT_THROW(decodeCall(1, 0, 1), Error);
    EXPECT_EQ(decodeCall(1, 8, 0).front().cap, (UsageCap{ 8, 0 }));
}

// Guards against calls that keep the issuer busy.
TEST(UsageRpcTest, RejectsCallsWithTooManyWorkspaces)
{
    const unsigned int most = UsageCaps::MaxRequestsPerCall;
    EXPECT_EQ(decodeCall(most, 8, 8).size(), UsageCaps::MaxRequestsPerCall);
    EXPECT_THROW(decodeCall(most + 1, 8, 8), Error);
}

// Guards against messages that grow with the number of workspaces.
TEST(UsageRpcTest, BoundsMessageSizes)
{
    capnp::MallocMessageBuilder call;
    capnp::MallocMessageBuilder reply;
    const unsigned int most = UsageCaps::MaxRequestsPerCall;
    const WorkspaceName name("workspace-0001");
    for (PeerRpc::UsageRequest::Builder it :
         call.initRoot<PeerRpc::Peer::RequestUsageParams>().initRequests(most)) {
        it.setWorkspace(name.value());
    }
    fillUsageReplies(reply.initRoot<PeerRpc::Peer::RequestUsageResults>(),
                     UsageReplies(most, UsageReply{ name }));
    RecordProperty("callBytes", static_cast<int>(call.sizeInWords() * sizeof(capnp::word)));
    RecordProperty("replyBytes", static_cast<int>(reply.sizeInWords() * sizeof(capnp::word)));
    EXPECT_LT(call.sizeInWords() * sizeof(capnp::word), 8'192U);
    EXPECT_LT(reply.sizeInWords() * sizeof(capnp::word), 8'192U);
}

// Guards against counts that use up a cap or overflow.
TEST(UsageRpcTest, BoundsCounts)
{
    const UsageRequest request = decodeCall(1, 8, 8).front();
    EXPECT_LE(request.needed, 100'000U);
    EXPECT_LE(request.returned, 100'000U);
}

} // namespace
} // namespace Tarragon
