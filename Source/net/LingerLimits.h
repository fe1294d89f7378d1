#pragma once

#include "base/Units.h"
#include "net/MemoryBudget.h"

namespace Tarragon {

/// Limits on how long a connection is kept after the last byte for its peer was written, and on
/// what is read from it meanwhile.
struct LingerLimits
{
    /// Time without any acknowledgement after which unacknowledged bytes are given up. The same as
    /// for other connections without progress.
    milliseconds stallTime = MemoryBudget::StallTime;
    /// Time for the peer to read what it has acknowledged and to close the connection.
    milliseconds closeTime{ 2'000 };
    /// Time after which the connection is closed even if the peer makes progress. The default idle
    /// timeout of HttpServerLimits.
    milliseconds totalTime{ 60'000 };
    /// Maximum input to read and discard. A peer may be sending the largest body that is permitted.
    ByteCount discardedBytes{ MemoryBudget::LargestBodyBytes };
};

} // namespace Tarragon
