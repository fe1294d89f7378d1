#pragma once

#include "base/Ids.h"
#include "base/Verdict.h"
#include "base/Versions.h"
#include "peer/Peer.capnp.h"

#include <capnp/message.h>

#include <string>

namespace Tarragon {

/// Returns a text of a message as a string.
std::string readText(capnp::Text::Reader text);

/// An instance and the incarnation of its process, the C++ counterpart of PeerRpc::InstanceRef.
struct InstanceRun
{
    InstanceId instance;
    Incarnation incarnation;
};

void writeInstance(PeerRpc::InstanceRef::Builder builder, const InstanceId &instance,
                   Incarnation incarnation);
InstanceRun readInstance(PeerRpc::InstanceRef::Reader reader);

PeerRpc::Verdict toWire(Verdict verdict);
/// Converts a verdict from its Cap'n Proto form. A value unknown to this software version becomes
/// MayHaveRun, which permits no further attempt.
Verdict fromWire(PeerRpc::Verdict verdict);

} // namespace Tarragon
