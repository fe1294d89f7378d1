#pragma once

#include "peer/Peer.capnp.h"
#include "steering/RegistryMessages.h"

namespace Tarragon {

/// Writes a message of the at-most-once registry to its Cap'n Proto form.
void writeRegistryPayload(PeerRpc::RegistryMessage::Builder builder,
                          const RegistryPayload &payload);

/// Reads a message of the at-most-once registry. Throws Error if the message kind or an enumeration
/// has a value unknown to this software version; the caller then drops the message, which has the
/// same effect as its loss on the network.
RegistryPayload readRegistryPayload(PeerRpc::RegistryMessage::Reader reader);

} // namespace Tarragon
