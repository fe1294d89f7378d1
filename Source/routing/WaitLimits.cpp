#include "routing/WaitLimits.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace Tarragon {

void WaitLimits::record(const Urgency &urgency, double queue, MonotonicTime now)
{
    const auto [found, isNew] = m_classes.try_emplace(urgency, Class{ queue, now, queue, now });
    Class &known = found->second;
    known.lastRequestAt = now;
    if (now - known.since >= Retention) {
        known.previousQueue = known.queue;
        known.queue = queue;
        known.since = now;
    }
    known.queue = std::min(known.queue, queue);
}

WaitLimit WaitLimits::limitFor(const WaitLimitQuery &query, MonotonicTime now)
{
    std::erase_if(m_classes, [now](const std::pair<const Urgency, Class> &it) {
        return now - it.second.lastRequestAt >= Retention;
    });
    const double processingTime = std::max(static_cast<double>(query.processingTime.count()), 1.0);
    const double ownQueue = static_cast<double>(query.ownLimit.count()) / processingTime;
    record(query.urgency, ownQueue, now);
    WaitLimit result{ query.ownLimit, 0 };
    double longestQueue = std::numeric_limits<double>::infinity();
    for (const auto &[urgency, known] : m_classes) {
        if (urgency >= query.urgency) {
            break;
        }
        const double queue = std::min(known.queue, known.previousQueue);
        longestQueue = Step * std::min(longestQueue, queue);
        ++result.rank;
    }
    if (longestQueue < ownQueue) {
        result.limit = microseconds(std::llround(longestQueue * processingTime));
    }
    return result;
}

} // namespace Tarragon
