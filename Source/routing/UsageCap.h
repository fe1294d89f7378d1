#pragma once

namespace Tarragon {

/// Limit on the requests of a workspace over all entries together.
struct UsageCap
{
    /// Mean number of requests per second; above 0.
    double perSecond = 0;
    /// Requests that may run at once beyond the mean rate.
    double burst = 0;

    friend bool operator==(const UsageCap &, const UsageCap &) = default;
};

} // namespace Tarragon
