#pragma once

#include "base/Units.h"

namespace Tarragon {

/// Bounds that operators set for all entries of a deployment together.
struct GatewayBounds
{
    /// Part of a service's requests that may be sent once more.
    double retryShare = 0.2;
    /// Repeats of a service that are allowed within the retry budget's window beside that part.
    double extraRetries = 50;
    /// Time from the signal to stop until the process is killed.
    milliseconds stopGrace{ 6'000 };
    /// Longest time that callers keep a lookup's answer.
    milliseconds longestLookupTtl{ 5'000 };

    bool operator==(const GatewayBounds &) const = default;
};

} // namespace Tarragon
