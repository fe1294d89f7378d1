#pragma once

#include "base/Units.h"

#include <algorithm>

namespace Tarragon {

/// Allows events at a mean rate with a limited burst.
class TokenBucket
{
public:
    /// Sets rate and burst from now on; what is saved up stays within the new burst.
    void configure(double perSecond, double burst, MonotonicTime now)
    {
        refill(now);
        m_perSecond = perSecond;
        m_burst = burst;
        m_tokens = std::min(m_tokens, burst);
    }
    bool hasToken(MonotonicTime now) const { return available(now) >= 1; }
    /// Takes one token, also if there is none left.
    void take(MonotonicTime now)
    {
        refill(now);
        m_tokens -= 1;
    }

private:
    double available(MonotonicTime now) const
    {
        const double age = inSeconds(now - m_filledAt);
        return std::min(m_burst, m_tokens + std::max(age, 0.0) * m_perSecond);
    }
    void refill(MonotonicTime now)
    {
        m_tokens = available(now);
        m_filledAt = now;
    }

    double m_perSecond = 0;
    double m_burst = 0;
    double m_tokens = 0;
    MonotonicTime m_filledAt;
};

} // namespace Tarragon
