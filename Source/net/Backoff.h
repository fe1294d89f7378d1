#pragma once

#include "base/Units.h"

#include <algorithm>
#include <cstdint>
#include <random>

namespace Tarragon {

/// Pauses between attempts, doubled after each failure, with jitter of half so that many clients
/// of one server do not come back at the same moment.
class Backoff
{
public:
    Backoff(microseconds shortest, microseconds longest, std::uint64_t seed)
        : m_shortest(shortest)
        , m_longest(longest)
        , m_random(seed)
    {}

    /// The pause after another failure: between a half and the whole of the present step.
    microseconds next()
    {
        m_step = std::clamp(m_step * 2, m_shortest, m_longest);
        return m_step / 2
               + microseconds(std::uniform_int_distribution<std::int64_t>(0, m_step.count() / 2)(
                       m_random));
    }
    /// Whether no failure has come since the last success.
    bool isAtRest() const { return m_step == microseconds(0); }
    /// An attempt has succeeded.
    void reset() { m_step = microseconds(0); }

private:
    microseconds m_shortest;
    microseconds m_longest;
    microseconds m_step{ 0 };
    std::mt19937_64 m_random;
};

} // namespace Tarragon
