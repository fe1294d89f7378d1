#pragma once

#include "base/Units.h"

#include <cstdint>
#include <cstdlib>
#include <functional>
#include <queue>
#include <random>
#include <string>
#include <tuple>
#include <utility>
#include <vector>

namespace Tarragon {

/// Events in virtual time, run in the order of their times and, at the same time, of their making.
class VirtualSchedule
{
public:
    using Action = std::function<void()>;

    microseconds now() const { return m_now; }
    void after(microseconds delay, Action action)
    {
        m_events.push(Event{ m_now + delay, m_next++, std::move(action) });
    }
    /// Runs the next event; false if there is none before the end.
    bool step(microseconds end)
    {
        if (m_events.empty() || m_events.top().at > end) {
            return false;
        }
        const Event event = m_events.top();
        m_events.pop();
        m_now = event.at;
        event.action();
        return true;
    }

private:
    struct Event
    {
        microseconds at;
        std::uint64_t order = 0;
        Action action;
        friend bool operator<(const Event &a, const Event &b)
        {
            return std::tie(b.at, b.order) < std::tie(a.at, a.order);
        }
    };

    microseconds m_now{ 0 };
    std::uint64_t m_next = 0;
    std::priority_queue<Event> m_events;
};

/// Random choices of a schedule, the same for the same seed.
class ScheduleRandom
{
public:
    explicit ScheduleRandom(std::uint64_t seed)
        : m_engine(seed)
    {}

    /// A number from 0 to bound - 1.
    int below(int bound)
    {
        return static_cast<int>(m_engine() % static_cast<std::uint64_t>(bound));
    }
    /// A number from low to high.
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

/// The seeds to run: the one in the environment variable TARRAGON_SEED, or 1 to the number in
/// TARRAGON_SCHEDULES, or 1 to count.
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
