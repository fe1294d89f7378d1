#pragma once

#include "base/Units.h"

#include <algorithm>
#include <cstdint>
#include <random>

namespace Tarragon {

/// Exponential backoff between attempts. The delay doubles after each failure. Half of it is random
/// jitter, so that the many clients of a server do not all retry at the same moment.
class Backoff
{
public:
    Backoff(microseconds minDelay, microseconds maxDelay, std::uint64_t seed)
        : m_minDelay(minDelay)
        , m_maxDelay(maxDelay)
        , m_random(seed)
    {}

    /// Records another failure and returns the delay before the next attempt: a random time between
    /// half of the doubled delay and all of it.
    microseconds next()
    {
        m_delay = std::clamp(m_delay * 2, m_minDelay, m_maxDelay);
        return m_delay / 2
               + microseconds(std::uniform_int_distribution<std::int64_t>(0, m_delay.count() / 2)(
                       m_random));
    }
    /// Whether there was no failure since the last reset().
    bool isAtRest() const { return m_delay == microseconds(0); }
    /// Makes the next delay the minimum again, after a successful attempt.
    void reset() { m_delay = microseconds(0); }

private:
    microseconds m_minDelay;
    microseconds m_maxDelay;
    microseconds m_delay{ 0 };
    std::mt19937_64 m_random;
};

} // namespace Tarragon
