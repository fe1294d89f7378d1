#include "routing/PermitIssuer.h"

#include <algorithm>

namespace Tarragon {

namespace {

/// Burst of permits: one, and what the limit allows in this time. Requests arrive irregularly, and
/// without a burst a part of the limit would stay unused.
constexpr double BurstSeconds = 0.25;
/// Rate that is granted below any limit, 0 included: only the response to a request shows that the
/// target no longer states the limit. One request in 4 s.
constexpr double MinRequestsPerSecond = 0.25;
/// Fraction of a cold rate that is granted. While the entries change from one issuer to another,
/// both may grant it, and the platform tolerates one and a half times the rate and five requests.
constexpr double ColdRateUtilization = 0.85;
/// Maximum burst of permits for a cold target.
constexpr double MaxColdBurst = 2;

} // namespace

PermitReply PermitIssuer::issue(const PermitRequest &request, double fraction, MonotonicTime now)
{
    m_limits.merge(request.target, request.limit, now);
    PermitReply reply;
    reply.limit = m_limits.find(request.target);
    std::optional<double> rate;
    double burst = MaxColdBurst;
    if (reply.limit.rate.has_value()) {
        rate = std::max(reply.limit.rate->perSecond, MinRequestsPerSecond) * fraction;
        burst = 1 + BurstSeconds * *rate;
    }
    if (request.coldRate.has_value()) {
        const double coldRate = request.coldRate->perSecond * ColdRateUtilization * fraction;
        rate = std::min(rate.value_or(coldRate), coldRate);
        burst = std::min(burst, MaxColdBurst);
    }
    if (!rate.has_value()) {
        m_buckets.erase(request.target);
        reply.isGranted = true;
        return reply;
    }
    Bucket &bucket = m_buckets[request.target];
    bucket.usedAt = now;
    bucket.tokens.configure(*rate, burst, now);
    if (bucket.tokens.hasToken(now)) {
        bucket.tokens.take(now);
        reply.isGranted = true;
    } else {
        reply.retryAfter = std::chrono::ceil<milliseconds>(bucket.tokens.timeUntilToken(now));
    }
    return reply;
}

void PermitIssuer::removeUnused(MonotonicTime now)
{
    std::erase_if(m_buckets, [now](const auto &it) { return now - it.second.usedAt >= Retention; });
}

} // namespace Tarragon
