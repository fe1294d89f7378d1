#pragma once

#include "base/Units.h"

#include <algorithm>

namespace Tarragon {

/// Limits events to a mean rate with a limited burst.
class TokenBucket
{
public:
    /// Sets rate and burst. Tokens saved so far are limited to the new burst.
    void configure(double perSecond, double burst, MonotonicTime now)
    {
        refill(now);
        m_tokensPerSecond = perSecond;
        m_burst = burst;
        m_tokens = std::min(m_tokens, burst);
    }
    bool hasToken(MonotonicTime now) const { return available(now) >= 1; }
    /// Returns the time until a token is available. The rate must be above 0.
    microseconds timeUntilToken(MonotonicTime now) const
    {
        const double missing = std::max(1 - available(now), 0.0);
        return microseconds(static_cast<std::int64_t>(missing / m_tokensPerSecond * 1e6));
    }
    /// Removes one token, even if none is available.
    void take(MonotonicTime now)
    {
        refill(now);
        m_tokens -= 1;
    }

private:
    double available(MonotonicTime now) const
    {
        const double age = inSeconds(now - m_refilledAt);
        return std::min(m_burst, m_tokens + std::max(age, 0.0) * m_tokensPerSecond);
    }
    void refill(MonotonicTime now)
    {
        m_tokens = available(now);
        m_refilledAt = now;
    }

    double m_tokensPerSecond = 0;
    double m_burst = 0;
    double m_tokens = 0;
    MonotonicTime m_refilledAt;
};

} // namespace Tarragon
