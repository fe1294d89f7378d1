#pragma once

#include "peer/Peer.capnp.h"
#include "routing/TargetLimits.h"

#include <string_view>
#include <vector>

namespace Tarragon {

void fillLimit(PeerRpc::TargetLimit::Builder builder, const TargetLimit &limit);
void fillLimits(capnp::List<PeerRpc::TargetLimitItem>::Builder list,
                const std::vector<TargetLimitChange> &limits);
/// Throws Error if the rate is negative or not a finite number; `name` says which rate it is.
RequestRate decodeRate(std::string_view name, double perSecond);
/// Throws Error if the rate is negative or not a finite number.
TargetLimit decodeLimit(PeerRpc::TargetLimit::Reader reader);

} // namespace Tarragon
