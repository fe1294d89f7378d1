#include "gateway/PermitRpc.h"

#include "base/Error.h"
#include "gateway/LimitCodec.h"
#include "net/LogLine.h"

#include <log4cplus/logger.h>
#include <log4cplus/loggingmacros.h>

#include <algorithm>

namespace Tarragon {

namespace {

const log4cplus::Logger &logger()
{
    static const log4cplus::Logger instance = log4cplus::Logger::getInstance("gateway");
    return instance;
}

PermitReply decodeReply(PeerRpc::Peer::RequestPermitResults::Reader results)
{
    // Keeps a malformed time from excluding the target for longer than its limit may require.
    static constexpr std::uint64_t MaxRetryAfterMs = 10'000;
    PermitReply reply;
    reply.isGranted = results.getGranted();
    reply.retryAfter = milliseconds(
            static_cast<std::int64_t>(std::min(results.getRetryAfterMs(), MaxRetryAfterMs)));
    reply.limit = decodeLimit(results.getLimit());
    return reply;
}

} // namespace

PermitRequest decodePermitRequest(PeerRpc::Peer::RequestPermitParams::Reader params)
{
    PermitRequest request{ TargetId(params.getTarget()), FailureDomainId(params.getFailureDomain()),
                           decodeLimit(params.getLimit()), std::nullopt };
    const RequestRate coldRate = decodeRate("cold rate", params.getColdPerSecond());
    if (coldRate > RequestRate{}) {
        request.coldRate = coldRate;
    }
    return request;
}

void fillPermitReply(PeerRpc::Peer::RequestPermitResults::Builder results, const PermitReply &reply)
{
    results.setGranted(reply.isGranted);
    results.setRetryAfterMs(static_cast<std::uint64_t>(reply.retryAfter.count()));
    fillLimit(results.initLimit(), reply.limit);
}

void requestPermit(EventLoop &loop, PeerClient *issuer, const PermitRequest &request,
                   const TargetPermits::ReplySlot &replied)
{
    if (issuer == nullptr) {
        replied(nullptr, loop.now());
        return;
    }
    issuer->call(
            &PeerRpc::Peer::Client::requestPermitRequest, TargetPermits::AskTimeout,
            [&request](PeerRpc::Peer::RequestPermitParams::Builder params) {
                params.setTarget(request.target.value());
                params.setFailureDomain(request.domain.value());
                fillLimit(params.initLimit(), request.limit);
                params.setColdPerSecond(request.coldRate.value_or(RequestRate{}).perSecond);
            },
            [&loop, replied](PeerOutcome outcome,
                             const PeerRpc::Peer::RequestPermitResults::Reader *results) {
                if (outcome != PeerOutcome::Done) {
                    replied(nullptr, loop.now());
                    return;
                }
                std::optional<PermitReply> reply;
                try {
                    reply = decodeReply(*results);
                } catch (const Error &error) {
                    LOG4CPLUS_WARN(logger(), LogLine("gateway", "permit-reply-refused")
                                                     .add("reason", error.what())
                                                     .text());
                }
                replied(reply.has_value() ? &*reply : nullptr, loop.now());
            });
}

} // namespace Tarragon
