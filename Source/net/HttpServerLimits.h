#pragma once

#include "base/Units.h"
#include "net/LingerLimits.h"

namespace Tarragon {

/// Limits on the requests and connections that an HttpServer accepts.
struct HttpServerLimits
{
    /// Maximum size of request line and header fields together; above it the response is 431.
    ByteCount headerBytes{ 16'384 };
    /// Maximum size of a request body; above it the response is 413.
    ByteCount bodyBytes{ 1'048'576 };
    /// Maximum time from the first byte of a request head to its last; above it the response is
    /// 408.
    milliseconds headerTimeout{ 60'000 };
    /// Time without a request after which a connection is closed, and time without a further byte
    /// of a request body after which the response is 408.
    milliseconds idleTimeout{ 60'000 };
    /// Time for which the peer may read no byte of a response before the connection is closed. The
    /// memory budget closes such connections sooner if it needs what they hold.
    milliseconds writeTimeout{ 60'000 };
    /// How long a connection is kept for its peer to read what was written.
    LingerLimits linger;
};

} // namespace Tarragon
