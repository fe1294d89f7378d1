#include "routing/RefusalPolicy.h"

#include "base/Digest.h"

#include <algorithm>

namespace Tarragon {

double RefusalPolicy::jitterOf(std::uint64_t requestHash)
{
    return MaxJitter * unitInterval(requestHash);
}

RetrySlot RefusalPolicy::reserveRetry(const std::vector<BusyTarget> &targets,
                                      const RefusedRequest &request, std::size_t entryCount,
                                      MonotonicTime now)
{
    // Finds the earliest time at which a target has capacity that is not reserved for another
    // caller.
    RetrySlot slot;
    MonotonicTime retryAt = MonotonicTime::max();
    for (std::size_t i = 0; i < targets.size(); ++i) {
        const MonotonicTime availableAt = std::max(
                now + targets[i].untilCapacity, targets[i].reservations->freeFrom(request.urgency));
        if (availableAt < retryAt) {
            slot.target = i;
            retryAt = availableAt;
        }
    }
    const BusyTarget &target = targets[slot.target];
    // Other entries reserve capacity of the same target too, so the time reserved for one request
    // is multiplied by the number of entries.
    const double entries = static_cast<double>(std::max<std::size_t>(entryCount, 1));
    const microseconds reservation = scaled(target.processingTime, entries / target.slots.value);
    const double rankFactor =
            1 + MaxStepPerRank * static_cast<double>(std::min(request.rank, MaxRank));
    const microseconds longest =
            std::max<microseconds>(scaled(MaxRetryAfter, rankFactor), target.backoff);
    const microseconds base = std::clamp<microseconds>(retryAt - now, MinRetryAfter, longest);
    target.reservations->reserve(request.urgency,
                                 now + std::min<microseconds>(base + reservation, longest), now);
    slot.retryAfter = scaled(base, 1 + jitterOf(request.hash));
    return slot;
}

} // namespace Tarragon
