#pragma once

#include "base/Units.h"
#include "gateway/ChangeLog.h"
#include "gateway/KindSubscription.h"
#include "peer/Peer.capnp.h"

#include <optional>
#include <string_view>

namespace Tarragon {

/// Returns the name of a source for the log.
std::string_view toString(ChangeSource source);
/// Writes the changes of a kind for a neighbour; nothing if they cannot be relayed, so that the
/// neighbour reads the store.
void fillKindNews(PeerRpc::KindNews::Builder builder, const std::optional<ChangeDelta> &news);
/// Writes how long ago the changes were last known to be complete.
void setAge(PeerRpc::KindNews::Builder builder, microseconds age);
/// Returns the age that setAge() has written.
microseconds ageOf(PeerRpc::KindNews::Reader news);
/// Converts relayed changes to a watch result. Throws if a specification is not valid JSON.
Platform::ChangePage pageOf(PeerRpc::KindNews::Reader news);

} // namespace Tarragon
