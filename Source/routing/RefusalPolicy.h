#pragma once

#include "routing/RetryReservations.h"

#include <cstddef>
#include <cstdint>
#include <vector>

namespace Tarragon {

/// A busy target to which a refused request might be sent later.
struct BusyTarget
{
    RetryReservations *reservations = nullptr;
    /// Time until the target's queue is short enough, or until its backoff ends.
    microseconds untilCapacity{ 0 };
    /// Remaining backoff that the target has requested.
    microseconds backoff{ 0 };
    microseconds processingTime{ 0 };
    SlotCount slots;
};

/// A request that is refused.
struct RefusedRequest
{
    Urgency urgency;
    /// Number of more urgent classes that compete for the service.
    std::size_t rank = 0;
    /// Hash of the request's id.
    std::uint64_t hash = 0;
};

/// When the caller of a refused request should retry, and at which of the busy targets capacity is
/// reserved for it then.
struct RetrySlot
{
    std::size_t target = 0;
    microseconds retryAfter{ 0 };
};

/// Decides when callers of refused requests retry: each in a slot of its own, so that they do not
/// return all at once, and urgent ones first.
class RefusalPolicy
{
public:
    /// Bounds of the time after which a refused caller is asked to retry, without backoffs.
    static constexpr milliseconds MinRetryAfter{ 40 };
    static constexpr milliseconds MaxRetryAfter{ 1'000 };

    /// Reserves the next free capacity of the targets, of which there is at least one, for the
    /// caller. Other entries reserve capacity of the same targets too.
    static RetrySlot reserveRetry(const std::vector<BusyTarget> &targets,
                                  const RefusedRequest &request, std::size_t entryCount,
                                  MonotonicTime now);
    /// Returns the jitter of a request's retry time as a fraction of that time.
    static double jitterOf(std::uint64_t requestHash);

private:
    /// Maximum jitter as a fraction of the retry time, so that callers do not all retry at once.
    static constexpr double MaxJitter = 0.2;
    /// Part by which the longest retry time grows for each more urgent class. It exceeds the
    /// jitter, so that the order is kept when all classes reach their longest times.
    static constexpr double MaxStepPerRank = 0.25;
    /// Rank from which the longest retry time no longer grows.
    static constexpr std::size_t MaxRank = 4;
};

} // namespace Tarragon
