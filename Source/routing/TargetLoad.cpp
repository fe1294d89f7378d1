#include "routing/TargetLoad.h"

#include <algorithm>
#include <cmath>

namespace Tarragon {

namespace {

/// Weight of a new report. Reports of one target come several times a second on the sites served
/// today, and the load of other entries changes within a request's duration.
constexpr double ReportWeight = 0.4;
/// Time after which a report counts half.
constexpr double ReportHalfLifeSeconds = 0.7;
/// Weight of a new ratio of work; about ten responses make the estimate.
constexpr double RatioWeight = 0.15;
/// Time after which a measured slowness counts half, so that a target that was avoided is tried
/// again.
constexpr double SlownessHalfLifeSeconds = 2.0;
constexpr double LeastRatio = 0.1;
constexpr double LargestRatio = 20;

double decay(MonotonicTime since, MonotonicTime now, double halfLifeSeconds)
{
    const double age = inSeconds(now - since);
    return std::exp2(-std::max(age, 0.0) / halfLifeSeconds);
}

} // namespace

void TargetLoad::onEnded()
{
    m_own = std::max(0, m_own - 1);
}

void TargetLoad::onReport(const LoadReport &report, MonotonicTime now)
{
    // The reporting request itself has left the target when the report is made.
    const int ownElsewhere = std::max(0, m_own - 1);
    const double foreign = std::max(0, report.running + report.waiting - ownElsewhere);
    const double before = m_reportedAt.has_value()
                                  ? m_foreign * decay(*m_reportedAt, now, ReportHalfLifeSeconds)
                                  : foreign;
    m_foreign = before + ReportWeight * (foreign - before);
    m_reportedAt = now;
}

void TargetLoad::onWorkRatio(double ratio, MonotonicTime now)
{
    const double bounded = std::clamp(ratio, LeastRatio, LargestRatio);
    const double before = slowness(now);
    m_slowness = before + RatioWeight * (bounded - before);
    m_measuredAt = now;
}

double TargetLoad::backlog(MonotonicTime now) const
{
    if (!m_reportedAt.has_value()) {
        return m_own;
    }
    return m_own + m_foreign * decay(*m_reportedAt, now, ReportHalfLifeSeconds);
}

double TargetLoad::slowness(MonotonicTime now) const
{
    if (!m_measuredAt.has_value()) {
        return 1;
    }
    return 1 + (m_slowness - 1) * decay(*m_measuredAt, now, SlownessHalfLifeSeconds);
}

microseconds TargetLoad::wait(SlotCount slots, microseconds work, MonotonicTime now) const
{
    const double ahead = backlog(now) + 1 - slots.value;
    if (ahead <= 0) {
        return microseconds(0);
    }
    const double each = static_cast<double>(work.count()) / std::max(1, slots.value);
    return microseconds(static_cast<std::int64_t>(ahead * each));
}

} // namespace Tarragon
