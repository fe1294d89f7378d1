#pragma once

#include "base/Units.h"

namespace Tarragon {

/// Limits that operators set for all entries of a deployment together.
struct GatewayBounds
{
    /// Fraction of a service's requests that may be retried.
    double retryShare = 0.2;
    /// Retries of a service that are allowed within the retry budget's window in addition to that
    /// fraction.
    double extraRetries = 50;
    /// Time from the stop signal until the process is killed.
    milliseconds stopGrace{ 6'000 };
    /// Maximum time for which callers may cache the result of a lookup.
    milliseconds maxLookupTtl{ 5'000 };

    /// Time after the acknowledgement that a target leaves within which it may still get requests.
    milliseconds drainTime{ 2'500 };

    bool operator==(const GatewayBounds &) const = default;
};

} // namespace Tarragon
