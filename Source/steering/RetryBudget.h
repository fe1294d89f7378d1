#pragma once

#include "base/Units.h"

#include <array>
#include <cstdint>

namespace Tarragon {

/// Limits the retries of one service to a share of its recent requests, so that retries cannot
/// multiply the load of a service that fails.
class RetryBudget
{
public:
    /// minimumRetries are allowed in each window even with few requests, so that a service with
    /// little traffic can get past one failed target.
    explicit RetryBudget(Share share, int minimumRetries = 1);

    /// Changes the share, from now on.
    void setShare(Share share) { m_share = share; }
    /// Changes the least number of retries in a window, from now on.
    void setMinimum(int retries) { m_minimumRetries = retries; }
    /// Counts a first attempt.
    void onRequest(MonotonicTime now);
    /// Takes a retry out of the budget; false if there is none left.
    bool tryRetry(MonotonicTime now);
    /// Retries that the budget still allows.
    int available(MonotonicTime now) const;

    /// Length of the window that counts as recent.
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
