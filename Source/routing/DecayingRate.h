#pragma once

#include "base/Units.h"

#include <algorithm>
#include <cmath>

namespace Tarragon {

/// Estimates the rate of events as an exponentially weighted mean over the recent past.
class DecayingRate
{
public:
    /// `period` is the time over which the mean is mostly taken; it must be above 0.
    explicit DecayingRate(microseconds period)
        : m_periodSeconds(inSeconds(period))
    {}

    void add(double count, MonotonicTime now)
    {
        m_count = decayed(now) + count;
        m_updatedAt = now;
    }
    /// Returns the number of events per second.
    double perSecond(MonotonicTime now) const { return decayed(now) / m_periodSeconds; }

private:
    double decayed(MonotonicTime now) const
    {
        return m_count * std::exp(-std::max(inSeconds(now - m_updatedAt), 0.0) / m_periodSeconds);
    }

    double m_periodSeconds;
    double m_count = 0;
    MonotonicTime m_updatedAt;
};

} // namespace Tarragon
