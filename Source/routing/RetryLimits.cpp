#include "routing/RetryLimits.h"

namespace Tarragon {

namespace {

/// Part of what is allowed that entries use. Entries count in windows of their own, and one that
/// starts again has forgotten what it has used.
constexpr double BoundUse = 0.6;
constexpr double PartsPerMillion = 1e6;

} // namespace

RetryLimits retryLimits(double allowedPart, double allowedExtra, std::size_t entries)
{
    RetryLimits limits;
    limits.share = Share{ static_cast<std::int64_t>(allowedPart * BoundUse * PartsPerMillion) };
    if (entries > 0) {
        limits.least = static_cast<int>(allowedExtra * BoundUse / static_cast<double>(entries));
    }
    return limits;
}

} // namespace Tarragon
