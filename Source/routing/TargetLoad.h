#pragma once

#include "base/Units.h"
#include "routing/LoadReport.h"

#include <optional>

namespace Tarragon {

/// Estimate of one target's load: the requests that this entry has there, plus those of other
/// entries, which show in the target's reports only.
class TargetLoad
{
public:
    void onSent() { ++m_own; }
    /// A request of this entry has ended at the target.
    void onEnded();
    /// Takes a report that came with the response of a request that is still counted as running.
    void onReport(const LoadReport &report, MonotonicTime now);
    /// Takes the time that a request took which did not have to wait, relative to the mean of its
    /// route.
    void onWorkRatio(double ratio, MonotonicTime now);

    /// Requests of this entry at the target.
    int own() const { return m_own; }
    /// Estimated requests of all entries at the target.
    double backlog(MonotonicTime now) const;
    /// How much longer than the mean of its service the target takes.
    double slowness(MonotonicTime now) const;
    /// Time that a further request would wait for a slot, with the mean work of a request there.
    microseconds wait(SlotCount slots, microseconds work, MonotonicTime now) const;

private:
    int m_own = 0;
    /// Requests of other entries, smoothed over reports.
    double m_foreign = 0;
    std::optional<MonotonicTime> m_reportedAt;
    double m_slowness = 1;
    std::optional<MonotonicTime> m_measuredAt;
};

} // namespace Tarragon
