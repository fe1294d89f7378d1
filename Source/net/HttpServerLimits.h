#pragma once

#include "base/Units.h"

namespace Tarragon {

/// What an HttpServer takes from its peers.
struct HttpServerLimits
{
    /// Request line and header fields together; above it the answer is 431.
    ByteCount headerBytes{ 16'384 };
    /// Request body; above it the answer is 413.
    ByteCount bodyBytes{ 1'048'576 };
    /// Time in which the head of a request must be complete; above it the answer is 408.
    milliseconds headerTimeout{ 60'000 };
    /// Time that a connection may stay without a request.
    milliseconds idleTimeout{ 60'000 };
};

} // namespace Tarragon
