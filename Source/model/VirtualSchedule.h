#pragma once

#include "base/Units.h"

#include <cstdint>
#include <functional>
#include <queue>
#include <tuple>
#include <utility>

namespace Tarragon {

/// Runs scheduled events in virtual time, ordered by time. Events at the same time run in the order
/// in which they were scheduled.
class VirtualSchedule
{
public:
    using Action = std::function<void()>;

    microseconds now() const { return m_now; }
    /// Schedules an action to run after the delay.
    void after(microseconds delay, Action action)
    {
        m_events.push(Event{ m_now + delay, m_next++, std::move(action) });
    }
    /// Runs the next event. Returns false if no event is left up to the end time.
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

} // namespace Tarragon
