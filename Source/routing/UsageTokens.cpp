#include "routing/UsageTokens.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace Tarragon {

namespace {

/// Time for whose expected requests tokens are asked for, and the stock below which they are.
/// Longer times save calls; tokens held by entries add to what may run in a span of time.
constexpr double HorizonSeconds = 0.4;
constexpr double LowStockSeconds = 0.15;
/// Time after the last reply for which an entry goes on without the issuer. A restarted issuer is
/// back by then; a failed one is replaced a second later.
constexpr milliseconds MaxSilence{ 2'000 };
/// Fraction of the entry's own recent rate that it goes on with, and the utilization up to which it
/// may. If half of the entries lose the issuer while the others use all of the cap, the sum stays
/// within the tolerated excess of a tenth of five seconds and the burst.
constexpr double RateWithoutIssuer = 0.85;
constexpr double MaxUtilizationWithoutIssuer = 0.7;

} // namespace

void UsageTokens::expire(MonotonicTime now)
{
    while (!m_batches.empty() && m_batches.front().expiresAt <= now) {
        m_expired += m_batches.front().count;
        m_batches.pop_front();
    }
}

std::uint32_t UsageTokens::stock(MonotonicTime now)
{
    expire(now);
    std::uint32_t count = 0;
    for (const Batch &it : m_batches) {
        count += it.count;
    }
    return count;
}

bool UsageTokens::take(MonotonicTime now)
{
    expire(now);
    if (m_batches.empty()) {
        return false;
    }
    if (--m_batches.front().count == 0) {
        m_batches.pop_front();
    }
    m_admitted.add(1, now);
    return true;
}

void UsageTokens::add(std::uint32_t count, MonotonicTime askedAt)
{
    if (count > 0) {
        m_batches.push_back(Batch{ askedAt + Validity, count });
    }
}

void UsageTokens::giveBack(MonotonicTime now)
{
    // The token may have expired meanwhile, so that it is left to the issuer.
    m_admitted.add(-1, now);
    ++m_expired;
}

void UsageTokens::onReply(double utilization, MonotonicTime now)
{
    m_utilization = utilization;
    m_hasReply = true;
    m_repliedAt = now;
    m_withoutIssuer.configure(RateWithoutIssuer * m_admitted.perSecond(now), 1, now);
}

bool UsageTokens::takeWithoutIssuer(MonotonicTime now)
{
    if (!m_hasReply || now - m_repliedAt > MaxSilence || m_utilization > MaxUtilizationWithoutIssuer
        || !m_withoutIssuer.hasToken(now)) {
        return false;
    }
    m_withoutIssuer.take(now);
    return true;
}

std::uint32_t UsageTokens::expectedNeed(MonotonicTime now)
{
    const double rate = m_demand.perSecond(now);
    const double held = stock(now);
    if (held > rate * LowStockSeconds) {
        return 0;
    }
    return static_cast<std::uint32_t>(std::max(std::floor(rate * HorizonSeconds - held), 0.0));
}

std::uint32_t UsageTokens::takeReturned(MonotonicTime now)
{
    expire(now);
    return std::exchange(m_expired, 0);
}

} // namespace Tarragon
