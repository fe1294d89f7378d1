#pragma once

#include "net/EventLoop.h"
#include "peer/PeerClient.h"
#include "routing/TargetPermits.h"

namespace Tarragon {

/// Decodes another entry's request for a permit. Throws Error if its limit or cold rate is invalid.
PermitRequest decodePermitRequest(PeerRpc::Peer::RequestPermitParams::Reader params);
void fillPermitReply(PeerRpc::Peer::RequestPermitResults::Builder results,
                     const PermitReply &reply);

/// Requests a permit from the issuer. The slot gets null if the client is null, if there is no
/// reply in time or if the reply is invalid.
void requestPermit(EventLoop &loop, PeerClient *issuer, const PermitRequest &request,
                   const TargetPermits::ReplySlot &replied);

} // namespace Tarragon
