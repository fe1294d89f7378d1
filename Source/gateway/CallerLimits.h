#pragma once

#include "net/HttpServerLimits.h"

namespace Tarragon {

/// Returns the limits to apply to callers, given those that the operator states. Callers go by a
/// raised idle limit as soon as the operator has stated it, entries only when it has reached them.
/// Connections are therefore kept for longer than stated.
HttpServerLimits callerLimits(const HttpServerLimits &stated);

} // namespace Tarragon
