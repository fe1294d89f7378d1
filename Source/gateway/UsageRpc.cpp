#include "gateway/UsageRpc.h"

#include "base/Error.h"
#include "net/LogLine.h"

#include <log4cplus/logger.h>
#include <log4cplus/loggingmacros.h>

#include <algorithm>
#include <cmath>

namespace Tarragon {

namespace {

/// Maximum numbers in messages, which keep malformed ones from using up a cap or stopping requests.
constexpr std::uint32_t MaxTokens = 100'000;
constexpr std::uint32_t MaxDelayMs = 10'000;

const log4cplus::Logger &logger()
{
    static const log4cplus::Logger instance = log4cplus::Logger::getInstance("gateway");
    return instance;
}

/// Returns a number that must be finite and at least 0. Throws Error otherwise.
double checkedNumber(const char *name, double value)
{
    if (!std::isfinite(value) || value < 0) {
        throw Error(std::string(name) + " is " + std::to_string(value)
                    + ", expected a finite number of at least 0");
    }
    return value;
}

milliseconds delayOf(std::uint32_t value)
{
    return milliseconds(std::min(value, MaxDelayMs));
}

UsageReplies decodeReplies(PeerRpc::Peer::RequestUsageResults::Reader results)
{
    UsageReplies replies;
    if (results.getReplies().size() > UsageCaps::MaxRequestsPerCall) {
        throw Error("reply has " + std::to_string(results.getReplies().size()) + " workspaces");
    }
    for (const PeerRpc::UsageReply::Reader it : results.getReplies()) {
        UsageReply reply;
        reply.workspace = WorkspaceName(it.getWorkspace());
        reply.isIssuer = it.getIssuer();
        reply.granted = std::min(it.getGranted(), MaxTokens);
        reply.retryAfter = delayOf(it.getRetryAfterMs());
        reply.askAgainAfter = delayOf(it.getAskAgainAfterMs());
        reply.utilization = checkedNumber("utilization", it.getUtilization());
        replies.push_back(std::move(reply));
    }
    return replies;
}

} // namespace

UsageRequests decodeUsageRequests(PeerRpc::Peer::RequestUsageParams::Reader params)
{
    if (params.getRequests().size() > UsageCaps::MaxRequestsPerCall) {
        throw Error("call has " + std::to_string(params.getRequests().size())
                    + " workspaces, expected up to "
                    + std::to_string(UsageCaps::MaxRequestsPerCall));
    }
    UsageRequests requests;
    for (const PeerRpc::UsageRequest::Reader it : params.getRequests()) {
        UsageRequest request;
        request.workspace = WorkspaceName(it.getWorkspace());
        request.cap = UsageCap{ checkedNumber("rate", it.getPerSecond()),
                                checkedNumber("burst", it.getBurst()) };
        if (request.cap.perSecond <= 0) {
            throw Error("rate is 0, expected a number above 0");
        }
        request.version = RouteVersion(it.getVersion());
        request.needed = std::min(it.getNeeded(), MaxTokens);
        request.expected = std::min(it.getExpected(), MaxTokens);
        request.returned = std::min(it.getReturned(), MaxTokens);
        requests.push_back(std::move(request));
    }
    return requests;
}

void fillUsageReplies(PeerRpc::Peer::RequestUsageResults::Builder results,
                      const UsageReplies &replies)
{
    capnp::List<PeerRpc::UsageReply>::Builder list =
            results.initReplies(static_cast<unsigned int>(replies.size()));
    for (unsigned int i = 0; i < list.size(); ++i) {
        PeerRpc::UsageReply::Builder item = list[i];
        item.setWorkspace(replies[i].workspace.value());
        item.setIssuer(replies[i].isIssuer);
        item.setGranted(replies[i].granted);
        item.setRetryAfterMs(static_cast<std::uint32_t>(replies[i].retryAfter.count()));
        item.setAskAgainAfterMs(static_cast<std::uint32_t>(replies[i].askAgainAfter.count()));
        item.setUtilization(replies[i].utilization);
    }
}

void requestUsage(EventLoop &loop, PeerClient *issuer, const UsageRequests &requests,
                  const UsageCaps::RepliesSlot &replied)
{
    if (issuer == nullptr) {
        replied(nullptr, loop.now());
        return;
    }
    issuer->call(
            &PeerRpc::Peer::Client::requestUsageRequest, UsageCaps::AskTimeout,
            [&requests](PeerRpc::Peer::RequestUsageParams::Builder params) {
                capnp::List<PeerRpc::UsageRequest>::Builder list =
                        params.initRequests(static_cast<unsigned int>(requests.size()));
                for (unsigned int i = 0; i < list.size(); ++i) {
                    PeerRpc::UsageRequest::Builder item = list[i];
                    item.setWorkspace(requests[i].workspace.value());
                    item.setPerSecond(requests[i].cap.perSecond);
                    item.setBurst(requests[i].cap.burst);
                    item.setVersion(requests[i].version.value());
                    item.setNeeded(requests[i].needed);
                    item.setExpected(requests[i].expected);
                    item.setReturned(requests[i].returned);
                }
            },
            [&loop, replied](PeerOutcome outcome,
                             const PeerRpc::Peer::RequestUsageResults::Reader *results) {
                std::optional<UsageReplies> replies;
                try {
                    if (outcome == PeerOutcome::Done) {
                        replies = decodeReplies(*results);
                    }
                } catch (const Error &error) {
                    LOG4CPLUS_WARN(logger(), LogLine("gateway", "usage-reply-refused")
                                                     .add("reason", error.what())
                                                     .text());
                }
                replied(replies.has_value() ? &*replies : nullptr, loop.now());
            });
}

} // namespace Tarragon
