#pragma once

namespace Tarragon {

/// Load that a target reports with a response: numbers of running and waiting requests and of its
/// slots.
struct LoadReport
{
    int running = 0;
    int waiting = 0;
    int slots = 0;
};

} // namespace Tarragon
