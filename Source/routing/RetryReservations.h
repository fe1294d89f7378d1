#pragma once

#include "base/Units.h"
#include "routing/Urgency.h"

#include <map>

namespace Tarragon {

/// Capacity of one target that is reserved for refused callers that were asked to retry, in order
/// of their urgency.
class RetryReservations
{
public:
    /// Returns the time from which capacity is not reserved for callers that are at least as
    /// urgent.
    MonotonicTime freeFrom(const Urgency &urgency) const;
    /// Reserves the capacity until this time, which delays less urgent callers that are refused
    /// later.
    void reserve(const Urgency &urgency, MonotonicTime until, MonotonicTime now);

private:
    /// End of the reservations of each class.
    std::map<Urgency, MonotonicTime> m_reservedUntil;
};

} // namespace Tarragon
