#pragma once

#include "peer/Peer.capnp.h"
#include "steering/SlotMessages.h"

namespace Tarragon {

// Conversion of the slot ledger's messages to and from their Cap'n Proto form.

void writeShareReport(PeerRpc::ShareReport::Builder builder, const ShareReport &report);
/// Reads a share report. Its sender is passed in, since only the heartbeat that carries the report
/// names the sender.
ShareReport readShareReport(PeerRpc::ShareReport::Reader reader, const InstanceId &from,
                            Incarnation fromIncarnation);

void writeGrantRequest(PeerRpc::SlotRequest::Builder builder, const GrantRequest &request);
GrantRequest readGrantRequest(PeerRpc::SlotRequest::Reader reader);

void writeGrantResponse(PeerRpc::SlotResponse::Builder builder, const GrantResponse &response);
GrantResponse readGrantResponse(PeerRpc::SlotResponse::Reader reader);

} // namespace Tarragon
