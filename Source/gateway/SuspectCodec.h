#pragma once

#include "peer/Peer.capnp.h"
#include "routing/SuspectRecord.h"

#include <vector>

namespace Tarragon {

void fillSuspect(PeerRpc::SuspectItem::Builder builder, const SuspectRecord &record);
void fillSuspects(capnp::List<PeerRpc::SuspectItem>::Builder list,
                  const std::vector<SuspectRecord> &records);
/// Decodes a record. Endings beyond SuspectRecord::MaxEndings are left out.
SuspectRecord decodeSuspect(PeerRpc::SuspectItem::Reader reader);
std::vector<SuspectRecord> decodeSuspects(capnp::List<PeerRpc::SuspectItem>::Reader list);

} // namespace Tarragon
