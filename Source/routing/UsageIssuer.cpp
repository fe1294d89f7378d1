#include "routing/UsageIssuer.h"

#include <algorithm>
#include <cmath>

namespace Tarragon {

namespace {

/// Smallest capacity of a bucket as a time at the capped rate, for caps without a burst: requests
/// arrive irregularly, and a part of the rate would stay unused. A tenth of the tolerated excess.
constexpr double MinBurstSeconds = 0.1;
/// Time for which a new issuer grants only a fraction of the rate, and that fraction. Entries may
/// disagree about the issuer for about a second, and what two issuers grant in that time must stay
/// within the tolerated excess of a tenth of five seconds.
constexpr milliseconds StartTime{ 1'500 };
constexpr double StartFraction = 0.3;
/// Fraction of a full bucket above which tokens are granted for expected requests. Below it they
/// are left to requests that wait.
constexpr double MinLevelForExpected = 0.5;
/// Bounds of Retry-After of requests beyond the cap.
constexpr double MinRetryAfterSeconds = 0.02;
constexpr double MaxRetryAfterSeconds = 1;
/// Time between two calls of an entry that gets no tokens, for each of the entries, so that a
/// workspace beyond its cap causes about 300 calls per second.
constexpr double AskAgainSecondsPerEntry = 0.003;
constexpr double MinAskAgainSeconds = 0.05;
constexpr double MaxAskAgainSeconds = 0.6;

double capacityOf(const UsageCap &cap)
{
    return std::max(cap.burst, 1 + MinBurstSeconds * cap.perSecond);
}

milliseconds toMilliseconds(double value)
{
    return milliseconds(static_cast<std::int64_t>(std::ceil(value * 1'000)));
}

} // namespace

UsageIssuer::Bucket &UsageIssuer::bucketOf(const UsageRequest &request,
                                           const UsageTenure::Start &start, MonotonicTime now)
{
    const auto [it, isNew] = m_buckets.try_emplace(request.workspace);
    Bucket &bucket = it->second;
    // An entry that was replaced as issuer for some time starts again.
    const bool isRestarted = isNew || bucket.start.at < start.at;
    if (isNew || request.version > bucket.version) {
        bucket.cap = request.cap;
        bucket.version = request.version;
    }
    if (isRestarted) {
        bucket.start = start;
        bucket.refilledAt = start.at;
        bucket.tokens = 0;
    }
    bucket.usedAt = now;
    return bucket;
}

void UsageIssuer::refill(Bucket &bucket, double fraction, MonotonicTime now)
{
    const MonotonicTime startEnd =
            bucket.start.isFleetStart ? bucket.start.at : bucket.start.at + StartTime;
    const double starting = std::max(inSeconds(std::min(now, startEnd) - bucket.refilledAt), 0.0);
    const double started = std::max(inSeconds(now - std::max(bucket.refilledAt, startEnd)), 0.0);
    const double added = (StartFraction * starting + started) * bucket.cap.perSecond * fraction;
    bucket.tokens = std::min(bucket.tokens + added, capacityOf(bucket.cap) * fraction);
    bucket.refilledAt = now;
}

UsageReply UsageIssuer::issue(const UsageRequest &request, double fraction, std::size_t entries,
                              const UsageTenure::Start &start, MonotonicTime now)
{
    Bucket &bucket = bucketOf(request, start, now);
    refill(bucket, fraction, now);
    const double capacity = capacityOf(bucket.cap) * fraction;
    bucket.tokens = std::min(bucket.tokens + request.returned, std::max(capacity, bucket.tokens));
    UsageReply reply;
    reply.workspace = request.workspace;
    reply.isIssuer = true;
    const double available = std::max(std::floor(bucket.tokens), 0.0);
    reply.granted = static_cast<std::uint32_t>(std::min<double>(request.needed, available));
    const std::uint32_t missing = request.needed - reply.granted;
    if (bucket.tokens > MinLevelForExpected * capacity) {
        const double spare =
                std::floor(bucket.tokens - reply.granted - MinLevelForExpected * capacity);
        reply.granted += static_cast<std::uint32_t>(
                std::clamp<double>(spare, 0, static_cast<double>(request.expected)));
    }
    bucket.tokens -= reply.granted;
    bucket.granted.add(reply.granted, now);
    bucket.denied.add(missing, now);
    reply.utilization = bucket.granted.perSecond(now) / bucket.cap.perSecond;
    if (missing > 0) {
        const double rate = bucket.cap.perSecond * fraction;
        const double deniedPerSecond = bucket.denied.perSecond(now);
        reply.retryAfter = toMilliseconds(std::clamp((1 + deniedPerSecond) / rate,
                                                     MinRetryAfterSeconds, MaxRetryAfterSeconds));
        reply.askAgainAfter =
                toMilliseconds(std::clamp(AskAgainSecondsPerEntry * static_cast<double>(entries),
                                          MinAskAgainSeconds, MaxAskAgainSeconds));
    }
    return reply;
}

void UsageIssuer::removeUnused(MonotonicTime now)
{
    std::erase_if(m_buckets, [now](const auto &it) { return now - it.second.usedAt >= Retention; });
}

} // namespace Tarragon
