#pragma once

#include "base/Ids.h"
#include "base/Verdict.h"
#include "base/Versions.h"
#include "peer/Peer.capnp.h"

#include <capnp/message.h>

#include <string>

namespace Tarragon {

/// Text of a message as a string.
std::string readText(capnp::Text::Reader text);

/// An instance and its incarnation, as messages name them together.
struct InstanceRun
{
    InstanceId instance;
    Incarnation incarnation;
};

void writeInstance(PeerRpc::InstanceRef::Builder builder, const InstanceId &instance,
                   Incarnation incarnation);
InstanceRun readInstance(PeerRpc::InstanceRef::Reader reader);

PeerRpc::Verdict toWire(Verdict verdict);
/// A value that this version does not know reads as MayHaveRun, which permits nothing.
Verdict fromWire(PeerRpc::Verdict verdict);

} // namespace Tarragon
