#pragma once

#include "peer/Peer.capnp.h"
#include "steering/RegistryMessages.h"

namespace Tarragon {

/// Writes a message of the at-most-once records in its form for RPC.
void writeRegistryPayload(PeerRpc::RegistryMessage::Builder builder,
                          const RegistryPayload &payload);

/// Reads it back. Throws Error if an enumeration has a value that this version does not know: the
/// message is then dropped, which is the same as a lost one.
RegistryPayload readRegistryPayload(PeerRpc::RegistryMessage::Reader reader);

} // namespace Tarragon
