#include "routing/RetryReservations.h"

#include <algorithm>

namespace Tarragon {

MonotonicTime RetryReservations::freeFrom(const Urgency &urgency) const
{
    MonotonicTime time;
    for (const auto &[other, until] : m_reservedUntil) {
        if (other <= urgency) {
            time = std::max(time, until);
        }
    }
    return time;
}

void RetryReservations::reserve(const Urgency &urgency, MonotonicTime until, MonotonicTime now)
{
    std::erase_if(m_reservedUntil, [now](const auto &it) { return it.second <= now; });
    m_reservedUntil[urgency] = until;
}

} // namespace Tarragon
