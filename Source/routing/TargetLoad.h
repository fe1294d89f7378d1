#pragma once

#include "base/Units.h"
#include "routing/LoadReport.h"

#include <optional>

namespace Tarragon {

/// Estimates the load of one target: the requests of this entry, which are counted, plus those of
/// other entries, which are known only from the target's load reports.
class TargetLoad
{
public:
    void onSent() { ++m_ownRequests; }
    /// Called when a request of this entry has ended at the target.
    void onEnded();
    /// Applies a report from the response to a request that is still counted, that is, before its
    /// onEnded().
    void onReport(const LoadReport &report, MonotonicTime now);
    /// Returns how long work takes at the target at this moment compared with its usual time: what
    /// the last report states, which loses its effect within a second; 1 if unknown. Load: 15 % of
    /// the targets are 2.5 times slower for 0.6 s at a time.
    double pace(MonotonicTime now) const;
    /// Applies the processing time of a request that did not wait, divided by pace() and by the
    /// mean of its route.
    void onProcessingTimeRatio(double ratio, MonotonicTime now);

    /// Returns the number of requests of this entry at the target.
    int own() const { return m_ownRequests; }
    /// Returns the estimated number of requests of all entries at the target.
    double backlog(MonotonicTime now) const;
    /// Returns the target's processing time divided by the mean over all targets of the service.
    double slowdown(MonotonicTime now) const;
    /// Returns the estimated time that a further request would wait for a slot, given the mean
    /// processing time of a request at the target.
    microseconds wait(SlotCount slots, microseconds work, MonotonicTime now) const;

private:
    int m_ownRequests = 0;
    /// Requests of other entries as a moving average over reports.
    double m_otherRequests = 0;
    std::optional<MonotonicTime> m_reportedAt;
    /// Pace stated by the last report; 1 if it states none.
    double m_pace = 1;
    double m_slowdown = 1;
    std::optional<MonotonicTime> m_measuredAt;
};

} // namespace Tarragon
