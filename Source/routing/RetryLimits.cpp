#include "routing/RetryLimits.h"

namespace Tarragon {

namespace {

/// Fraction of the allowed retries that entries use. The rest is a margin because each entry counts
/// in its own windows and a restarted entry starts with an empty count.
constexpr double LimitUtilization = 0.6;
constexpr double PartsPerMillion = 1e6;

} // namespace

RetryLimits retryLimits(double allowedPart, double allowedExtra, std::size_t entries)
{
    RetryLimits limits;
    limits.retryRatio =
            Share{ static_cast<std::int64_t>(allowedPart * LimitUtilization * PartsPerMillion) };
    if (entries > 0) {
        limits.minRetriesPerWindow =
                static_cast<int>(allowedExtra * LimitUtilization / static_cast<double>(entries));
    }
    return limits;
}

} // namespace Tarragon
