#pragma once

namespace Tarragon {

/// Load of a target as it reports it with a response.
struct LoadReport
{
    int running = 0;
    int waiting = 0;
    int slots = 0;
};

} // namespace Tarragon
