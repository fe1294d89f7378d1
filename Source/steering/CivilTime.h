#pragma once

#include <chrono>

namespace Tarragon {

/// A moment of the wall clock in UTC. It decides about daily peaks only, never about a permission
/// or an order of events.
using CivilTime = std::chrono::sys_seconds;

} // namespace Tarragon
