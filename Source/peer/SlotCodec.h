#pragma once

#include "peer/Peer.capnp.h"
#include "steering/SlotMessages.h"

namespace Tarragon {

// Messages of the slot ledger in their form for RPC.

void writeShareReport(PeerRpc::ShareReport::Builder builder, const ShareReport &report);
ShareReport readShareReport(PeerRpc::ShareReport::Reader reader);

void writeGrantRequest(PeerRpc::GrantRequest::Builder builder, const GrantRequest &request);
GrantRequest readGrantRequest(PeerRpc::GrantRequest::Reader reader);

void writeGrantResponse(PeerRpc::GrantResponse::Builder builder, const GrantResponse &response);
GrantResponse readGrantResponse(PeerRpc::GrantResponse::Reader reader);

} // namespace Tarragon
