#pragma once

#include "base/Units.h"

#include <cstddef>

namespace Tarragon {

/// Minimum time before a request's deadline for which a retry at another target is worthwhile.
inline constexpr milliseconds MinRetryTime{ 30 };
/// Retry-After sent to a caller whose request was declined by all targets tried.
inline constexpr milliseconds DeclinedRetryAfter{ 100 };

/// Limits of one entry's RetryBudget for a service.
struct RetryLimits
{
    Share retryRatio;
    /// Number of retries allowed in each window of the budget even if there are few requests.
    int minRetriesPerWindow = 0;
};

/// Returns the limits of one entry, such that all entries together retry at most the fraction
/// allowedPart of a service's requests plus allowedExtra requests. If the number of entries is
/// unknown (0), only the fraction is allowed.
RetryLimits retryLimits(double allowedPart, double allowedExtra, std::size_t entries);

} // namespace Tarragon
