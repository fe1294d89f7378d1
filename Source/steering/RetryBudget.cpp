#include "steering/RetryBudget.h"

#include <algorithm>

namespace Tarragon {
namespace {

std::int64_t periodOf(MonotonicTime now, int buckets)
{
    return now.time_since_epoch() / (RetryBudget::Window / buckets);
}

} // namespace

RetryBudget::RetryBudget(Share share, int minimumRetries)
    : m_share(share)
    , m_minimumRetries(minimumRetries)
{}

void RetryBudget::onRequest(MonotonicTime now)
{
    ++bucketAt(now).requests;
}

bool RetryBudget::tryRetry(MonotonicTime now)
{
    if (available(now) <= 0) {
        return false;
    }
    ++bucketAt(now).retries;
    return true;
}

int RetryBudget::available(MonotonicTime now) const
{
    const std::int64_t oldest = periodOf(now, BucketCount) - BucketCount + 1;
    std::int64_t requests = 0;
    std::int64_t retries = 0;
    for (const Bucket &it : m_buckets) {
        if (it.period >= oldest) {
            requests += it.requests;
            retries += it.retries;
        }
    }
    const std::int64_t allowed = std::max<std::int64_t>(
            m_minimumRetries, requests * m_share.partsPerMillion / 1'000'000);
    return static_cast<int>(std::max<std::int64_t>(0, allowed - retries));
}

RetryBudget::Bucket &RetryBudget::bucketAt(MonotonicTime now)
{
    const std::int64_t period = periodOf(now, BucketCount);
    Bucket &bucket = m_buckets[static_cast<std::size_t>(period % BucketCount)];
    if (bucket.period != period) {
        bucket = Bucket{ period, 0, 0 };
    }
    return bucket;
}

} // namespace Tarragon
