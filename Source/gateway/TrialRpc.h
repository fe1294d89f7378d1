#pragma once

#include "peer/PeerClient.h"
#include "routing/RequestTrials.h"

namespace Tarragon {

TrialRequest decodeTrialRequest(PeerRpc::Peer::RequestTrialParams::Reader params);
void fillTrialReply(PeerRpc::Peer::RequestTrialResults::Builder results, const TrialReply &reply);

/// Requests a permit for a trial from its issuer; a null issuer is not a registered entry.
void requestTrial(EventLoop &loop, PeerClient *issuer, const TrialRequest &request,
                  const RequestTrials::ReplySlot &replied);

/// Tells the issuer that a trial has ended. If this is lost, the permit ends after its duration.
void endTrial(PeerClient *issuer, const SuspectRecord &suspect);

} // namespace Tarragon
