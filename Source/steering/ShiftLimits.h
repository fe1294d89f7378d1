#pragma once

#include "document/Configuration.h"
#include "steering/Weights.h"

#include <vector>

namespace Tarragon {

/// The caps on moving one service's traffic between pairs of regions. A pair without a cap is not
/// limited. A cap holds for the callers of each region on their own, and therefore for all of them
/// together. It holds over its period and the lookup TTL, because callers use older answers for
/// the TTL.
class ShiftLimits
{
public:
    /// A row that was in force, with the time since it was replaced; 0 for the current one.
    struct PastRow
    {
        WeightRow row;
        microseconds age{ 0 };
    };

    /// No limits.
    ShiftLimits() = default;

    /// The caps of the service in the document.
    ShiftLimits(const Configuration &configuration, const ServiceId &service);

    /// Whether replacing the current row keeps all caps, given the rows that were in force before.
    bool allows(const std::vector<PastRow> &past, const WeightRow &next) const;

    /// The row closest to the target, on the way from the current one, that keeps all caps. Past
    /// rows must include the current one. Returns the current row if no move is possible.
    WeightRow step(const WeightRow &current, const WeightRow &target,
                   const std::vector<PastRow> &past) const;

    /// Longest time over which a cap holds; 0 without caps.
    microseconds longestWindow() const { return m_longestWindow; }

    /// Whether a cap forbids every move between the regions.
    bool forbids(const RegionId &from, const RegionId &to) const;

private:
    struct Limit
    {
        RegionId from;
        RegionId to;
        double share = 0;
        microseconds window{ 0 };
    };

    double remaining(const RegionId &from, const RegionId &to, const WeightRow &current,
                     const std::vector<PastRow> &past) const;

    std::vector<Limit> m_limits;
    microseconds m_longestWindow{ 0 };
};

} // namespace Tarragon
