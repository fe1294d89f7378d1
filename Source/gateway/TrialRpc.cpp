#include "gateway/TrialRpc.h"

#include "gateway/SuspectCodec.h"
#include "net/EventLoop.h"

#include <algorithm>

namespace Tarragon {

namespace {

/// Timeout of calls whose replies only confirm the receipt.
constexpr milliseconds ConfirmTimeout{ 1'000 };
/// Bounds the time for which a request can be reserved by an entry that does not report its end;
/// longer than any request of the platform may take.
constexpr std::uint64_t MaxTrialMs = 60'000;
/// Keeps a malformed reply from refusing a request for longer than any trial may have to wait.
constexpr std::uint64_t MaxRetryAfterMs = 300'000;

milliseconds boundedTime(std::uint64_t value, std::uint64_t max)
{
    return milliseconds(static_cast<std::int64_t>(std::min(value, max)));
}

} // namespace

TrialRequest decodeTrialRequest(PeerRpc::Peer::RequestTrialParams::Reader params)
{
    return TrialRequest{ ServiceId(params.getService()), decodeSuspect(params.getSuspect()),
                         boundedTime(params.getDurationMs(), MaxTrialMs) };
}

void fillTrialReply(PeerRpc::Peer::RequestTrialResults::Builder results, const TrialReply &reply)
{
    results.setGranted(reply.isGranted);
    results.setRetryAfterMs(static_cast<std::uint64_t>(reply.retryAfter.count()));
    fillSuspect(results.initSuspect(), reply.suspect);
}

void requestTrial(EventLoop &loop, PeerClient *issuer, const TrialRequest &request,
                  const RequestTrials::ReplySlot &replied)
{
    if (issuer == nullptr) {
        replied(nullptr, loop.now());
        return;
    }
    issuer->call(
            &PeerRpc::Peer::Client::requestTrialRequest, RequestTrials::AskTimeout,
            [&request](PeerRpc::Peer::RequestTrialParams::Builder params) {
                params.setService(request.service.value());
                params.setDurationMs(static_cast<std::uint64_t>(request.duration.count()));
                fillSuspect(params.initSuspect(), request.suspect);
            },
            [&loop, replied](PeerOutcome outcome,
                             const PeerRpc::Peer::RequestTrialResults::Reader *results) {
                if (outcome != PeerOutcome::Done) {
                    replied(nullptr, loop.now());
                    return;
                }
                const TrialReply reply{ results->getGranted(),
                                        boundedTime(results->getRetryAfterMs(), MaxRetryAfterMs),
                                        decodeSuspect(results->getSuspect()) };
                replied(&reply, loop.now());
            });
}

void endTrial(PeerClient *issuer, const SuspectRecord &suspect)
{
    if (issuer == nullptr) {
        return;
    }
    issuer->call(
            &PeerRpc::Peer::Client::endTrialRequest, ConfirmTimeout,
            [&suspect](PeerRpc::Peer::EndTrialParams::Builder params) {
                fillSuspect(params.initSuspect(), suspect);
            },
            [](PeerOutcome, const PeerRpc::Peer::EndTrialResults::Reader *) {});
}

} // namespace Tarragon
