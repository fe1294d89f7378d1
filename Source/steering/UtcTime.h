#pragma once

#include <chrono>

namespace Tarragon {

/// A point of wall clock time in UTC. Because a wall clock can jump, it is used for daily peaks
/// only, never for time limits of permissions or for the order of events.
using UtcTime = std::chrono::sys_seconds;

} // namespace Tarragon
