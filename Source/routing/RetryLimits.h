#pragma once

#include "base/Units.h"

#include <cstddef>

namespace Tarragon {

/// Time that must be left for another target to be of use.
inline constexpr milliseconds LeastRetryTime{ 30 };
/// Time after which a caller whose request was declined by its targets may come back.
inline constexpr milliseconds RetryAfterDeclined{ 100 };

/// What one entry allows its RetryBudget of a service.
struct RetryLimits
{
    Share share;
    /// Repeats in each window even with few requests.
    int least = 0;
};

/// The limits of one of several entries that together may repeat a part of a service's requests and
/// a number of them beside. Without the number of entries nothing is allowed beside.
RetryLimits retryLimits(double allowedPart, double allowedExtra, std::size_t entries);

} // namespace Tarragon
