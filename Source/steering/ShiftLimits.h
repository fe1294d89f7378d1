#pragma once

#include "document/Configuration.h"
#include "steering/Weights.h"

#include <vector>

namespace Tarragon {

/// The caps on moving one service's traffic between pairs of regions. A pair without a cap is not
/// limited. A cap applies to the callers of each region separately, and therefore holds for all
/// callers together. It applies over a window of its period plus the lookup TTL, because callers
/// use older lookup responses for the TTL.
class ShiftLimits
{
public:
    /// A row that was in force, with the time since it was replaced; 0 for the current row.
    struct PastRow
    {
        WeightRow row;
        microseconds age{ 0 };
    };

    /// Creates limits without any cap.
    ShiftLimits() = default;

    /// Creates the limits from the caps that the document sets for the service.
    ShiftLimits(const Configuration &configuration, const ServiceId &service);

    /// Whether replacing the current row by the next one keeps within all caps. Past rows must
    /// include the current one.
    bool allows(const std::vector<PastRow> &past, const WeightRow &next) const;

    /// Returns the row closest to the goal, on the way from the current row, that keeps within all
    /// caps; the current row if no move is possible. Past rows must include the current one.
    WeightRow step(const WeightRow &current, const WeightRow &goal,
                   const std::vector<PastRow> &past) const;

    /// Returns the maximum window of the caps; 0 without caps.
    microseconds maxWindow() const { return m_maxWindow; }

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

    /// Returns the share that the caps still allow to move between the regions.
    double remainingShare(const RegionId &from, const RegionId &to, const WeightRow &current,
                          const std::vector<PastRow> &past) const;

    std::vector<Limit> m_limits;
    microseconds m_maxWindow{ 0 };
};

} // namespace Tarragon
