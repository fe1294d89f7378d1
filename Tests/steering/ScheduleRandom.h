#pragma once

#include "base/Units.h"

#include <cstdint>
#include <cstdlib>
#include <random>
#include <string>
#include <vector>

namespace Tarragon {

/// Makes the random choices of a schedule; the same seed gives the same choices.
class ScheduleRandom
{
public:
    explicit ScheduleRandom(std::uint64_t seed)
        : m_engine(seed)
    {}

    /// Returns a number from 0 to bound - 1.
    int below(int bound)
    {
        return static_cast<int>(m_engine() % static_cast<std::uint64_t>(bound));
    }
    /// Returns a number from low to high, both included.
    int between(int low, int high) { return low + below(high - low + 1); }
    bool chance(int percent) { return below(100) < percent; }
    microseconds time(milliseconds low, milliseconds high)
    {
        const auto span = static_cast<std::uint64_t>(microseconds(high - low).count()) + 1;
        return low + microseconds(static_cast<std::int64_t>(m_engine() % span));
    }
    std::uint64_t bits() { return m_engine(); }

private:
    std::mt19937_64 m_engine;
};

/// Returns the seeds to run: the one in the environment variable TARRAGON_SEED, or 1 to the number
/// in TARRAGON_SCHEDULES, or 1 to count.
inline std::vector<std::uint64_t> scheduleSeeds(std::uint64_t count)
{
    if (const char *text = std::getenv("TARRAGON_SEED")) {
        return { std::stoull(text) };
    }
    if (const char *text = std::getenv("TARRAGON_SCHEDULES")) {
        count = std::stoull(text);
    }
    std::vector<std::uint64_t> seeds;
    for (std::uint64_t i = 1; i <= count; ++i) {
        seeds.push_back(i);
    }
    return seeds;
}

} // namespace Tarragon
