#pragma once

#include "gateway/MembershipGossip.h"
#include "gateway/StoreRelay.h"

namespace Tarragon {

/// Returns a slot that sends the questions of a relay over the RPC connections of the gossip, which
/// must outlive it.
StoreRelay::AskSlot relayCalls(MembershipGossip &gossip);

} // namespace Tarragon
