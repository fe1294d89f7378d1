#pragma once

#include "document/ServiceConfiguration.h"
#include "steering/UtcTime.h"

#include <vector>

namespace Tarragon {

/// The interval of a daily peak on one day, from start up to but without end.
struct PeakInterval
{
    UtcTime start;
    UtcTime end;
    friend bool operator==(const PeakInterval &, const PeakInterval &) = default;
};

/// Returns the interval of the peak that starts on the given civil day in the time zone of the
/// peak. If the end is at or before the start, the peak ends on the next day. A start or end in the
/// hour that a clock change skips is moved to the clock change. In an hour that a clock change
/// repeats, a start falls into the first occurrence and an end into the second, so that the peak is
/// never too short. Throws Error if the time zone is unknown.
PeakInterval peakOn(const DailyPeak &peak, std::chrono::local_days day);

/// Returns the largest load factor of the peaks at any time from "from" to "to", both included; 1
/// if there is no peak in this time. Throws Error if a time zone is unknown.
double largestPeakFactor(const std::vector<DailyPeak> &peaks, UtcTime from, UtcTime to);

} // namespace Tarragon
