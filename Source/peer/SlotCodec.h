#pragma once

#include "peer/Peer.capnp.h"
#include "steering/SlotMessages.h"

namespace Tarragon {

// Messages of the slot ledger in their form for RPC.

void writeShareReport(PeerRpc::ShareReport::Builder builder, const ShareReport &report);
/// The sender is that of the heartbeat which carries the report.
ShareReport readShareReport(PeerRpc::ShareReport::Reader reader, const InstanceId &from,
                            Incarnation fromIncarnation);

void writeGrantRequest(PeerRpc::SlotRequest::Builder builder, const GrantRequest &request);
GrantRequest readGrantRequest(PeerRpc::SlotRequest::Reader reader);

void writeGrantResponse(PeerRpc::SlotResponse::Builder builder, const GrantResponse &response);
GrantResponse readGrantResponse(PeerRpc::SlotResponse::Reader reader);

} // namespace Tarragon
