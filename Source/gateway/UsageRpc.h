#pragma once

#include "net/EventLoop.h"
#include "peer/PeerClient.h"
#include "routing/UsageCaps.h"

namespace Tarragon {

/// Decodes another entry's requests for tokens of workspaces. Throws Error if a cap is invalid or
/// there are more requests than one call may contain.
UsageRequests decodeUsageRequests(PeerRpc::Peer::RequestUsageParams::Reader params);
void fillUsageReplies(PeerRpc::Peer::RequestUsageResults::Builder results,
                      const UsageReplies &replies);

/// Requests tokens from the issuer. The slot gets null if the client is null, if there is no reply
/// in time or if the reply is invalid.
void requestUsage(EventLoop &loop, PeerClient *issuer, const UsageRequests &requests,
                  const UsageCaps::RepliesSlot &replied);

} // namespace Tarragon
