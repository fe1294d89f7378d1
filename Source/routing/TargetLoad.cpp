#include "routing/TargetLoad.h"

#include <algorithm>
#include <cmath>

namespace Tarragon {

namespace {

/// Weight of a new report. On the sites served, each target reports several times a second, and the
/// load of other entries changes within the duration of a request.
constexpr double ReportWeight = 0.4;
/// Half-life of a report.
constexpr double ReportHalfLifeSeconds = 0.7;
/// Half-life of a reported pace. Paces change several times a second, and slow phases last 0.6 s.
constexpr double PaceHalfLifeSeconds = 0.2;
constexpr double PercentOfUsual = 100;
/// Weight of a new processing time ratio; the estimate is mostly determined by the last ten
/// responses.
constexpr double RatioWeight = 0.15;
/// Half-life of a measured slowdown, so that a target that was avoided is tried again.
constexpr double SlowdownHalfLifeSeconds = 2.0;
constexpr double MinRatio = 0.1;
constexpr double MaxRatio = 20;

double decay(MonotonicTime since, MonotonicTime now, double halfLifeSeconds)
{
    const double age = inSeconds(now - since);
    return std::exp2(-std::max(age, 0.0) / halfLifeSeconds);
}

} // namespace

void TargetLoad::onEnded()
{
    m_ownRequests = std::max(0, m_ownRequests - 1);
}

void TargetLoad::onReport(const LoadReport &report, MonotonicTime now)
{
    // The report does not include the request with which it came.
    const int ownElsewhere = std::max(0, m_ownRequests - 1);
    const double otherRequests = std::max(0, report.running + report.waiting - ownElsewhere);
    const double before =
            m_reportedAt.has_value()
                    ? m_otherRequests * decay(*m_reportedAt, now, ReportHalfLifeSeconds)
                    : otherRequests;
    m_otherRequests = before + ReportWeight * (otherRequests - before);
    m_reportedAt = now;
    m_pace = report.pacePercent.has_value() ? *report.pacePercent / PercentOfUsual : 1;
}

void TargetLoad::onProcessingTimeRatio(double ratio, MonotonicTime now)
{
    const double bounded = std::clamp(ratio, MinRatio, MaxRatio);
    const double before = slowdown(now);
    m_slowdown = before + RatioWeight * (bounded - before);
    m_measuredAt = now;
}

double TargetLoad::backlog(MonotonicTime now) const
{
    if (!m_reportedAt.has_value()) {
        return m_ownRequests;
    }
    return m_ownRequests + m_otherRequests * decay(*m_reportedAt, now, ReportHalfLifeSeconds);
}

double TargetLoad::slowdown(MonotonicTime now) const
{
    if (!m_measuredAt.has_value()) {
        return 1;
    }
    return 1 + (m_slowdown - 1) * decay(*m_measuredAt, now, SlowdownHalfLifeSeconds);
}

double TargetLoad::pace(MonotonicTime now) const
{
    if (!m_reportedAt.has_value()) {
        return 1;
    }
    return 1 + (m_pace - 1) * decay(*m_reportedAt, now, PaceHalfLifeSeconds);
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
