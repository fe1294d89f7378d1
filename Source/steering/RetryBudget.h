#pragma once

#include "base/Units.h"

#include <array>
#include <cstdint>

namespace Tarragon {

/// Limits the retries of one service to a fraction of its recent requests, so that retries cannot
/// multiply the load of a failing service.
class RetryBudget
{
public:
    /// Creates a budget that allows the given fraction of requests to be retried, and at least
    /// minimumRetries in each window, so that a service with little traffic can retry after a
    /// failed target.
    explicit RetryBudget(Share share, int minimumRetries = 1);

    /// Sets the fraction of requests that may be retried.
    void setShare(Share share) { m_share = share; }
    /// Sets the minimum number of retries allowed in a window.
    void setMinimum(int retries) { m_minimumRetries = retries; }
    /// Counts a first attempt.
    void onRequest(MonotonicTime now);
    /// Counts a retry against the budget. Returns false, and counts nothing, if none is left.
    bool tryRetry(MonotonicTime now);
    /// Returns the number of retries that the budget still allows.
    int available(MonotonicTime now) const;

    /// Length of the sliding window over which requests and retries are counted.
    static constexpr microseconds Window{ 10'000'000 };

private:
    struct Bucket
    {
        std::int64_t period = -1;
        std::int64_t requests = 0;
        std::int64_t retries = 0;
    };
    static constexpr int BucketCount = 10;

    Bucket &bucketAt(MonotonicTime now);

    Share m_share;
    int m_minimumRetries;
    std::array<Bucket, BucketCount> m_buckets;
};

} // namespace Tarragon
