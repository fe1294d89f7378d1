#pragma once

#include "document/ServiceConfiguration.h"
#include "steering/CivilTime.h"

#include <vector>

namespace Tarragon {

/// A peak on one day, from start up to but without end.
struct PeakInterval
{
    CivilTime start;
    CivilTime end;
    friend bool operator==(const PeakInterval &, const PeakInterval &) = default;
};

/// The peak whose start falls on the civil day of its time zone, with the day given as days since
/// 1970. An end at or before the start falls on the next day. A start or end in an hour that the
/// clock change leaves out falls on the change. Of an hour that occurs twice, a start is in the
/// first and an end in the second, so that the peak is never too short. Throws Error if the time
/// zone is unknown.
PeakInterval peakOn(const DailyPeak &peak, std::chrono::local_days day);

/// The largest load factor of the peaks at any moment from "from" to "to", at least 1. Throws
/// Error if a time zone is unknown.
double largestPeakFactor(const std::vector<DailyPeak> &peaks, CivilTime from, CivilTime to);

} // namespace Tarragon
