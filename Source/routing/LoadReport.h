#pragma once

#include <optional>

namespace Tarragon {

/// Load that a target reports with a response: numbers of running and waiting requests and of its
/// slots.
struct LoadReport
{
    int running = 0;
    int waiting = 0;
    int slots = 0;
    /// How long work takes on the target's machine at this moment, in percent of the usual time;
    /// nothing if unknown.
    std::optional<int> pacePercent = std::nullopt;
};

} // namespace Tarragon
