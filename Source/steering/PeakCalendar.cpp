#include "steering/PeakCalendar.h"

#include "base/Error.h"

#include <date/tz.h>

#include <algorithm>
#include <string>

namespace Tarragon {

namespace {

const date::time_zone &zoneOf(const DailyPeak &peak)
{
    try {
        return *date::locate_zone(peak.timeZone);
    } catch (const std::runtime_error &) {
        throw Error("peak: timeZone: found \"" + peak.timeZone
                    + "\", expected a name of the time zone database");
    }
}

} // namespace

PeakInterval peakOn(const DailyPeak &peak, std::chrono::local_days day)
{
    const date::time_zone &zone = zoneOf(peak);
    const date::local_days localDay(day.time_since_epoch());
    const date::local_days endDay = peak.end > peak.start ? localDay : localDay + date::days(1);
    const date::local_seconds start = localDay + peak.start;
    const date::local_seconds end = endDay + peak.end;
    return { zone.to_sys(start, date::choose::earliest), zone.to_sys(end, date::choose::latest) };
}

double largestPeakFactor(const std::vector<DailyPeak> &peaks, UtcTime from, UtcTime to)
{
    double factor = 1;
    for (const DailyPeak &it : peaks) {
        const date::time_zone &zone = zoneOf(it);
        const date::local_days last = date::floor<date::days>(zone.to_local(to));
        // A peak that started on the previous day may end after midnight.
        date::local_days day = date::floor<date::days>(zone.to_local(from)) - date::days(1);
        for (; day <= last; day += date::days(1)) {
            const PeakInterval interval =
                    peakOn(it, std::chrono::local_days(day.time_since_epoch()));
            if (interval.start <= to && from < interval.end) {
                factor = std::max(factor, it.factor);
            }
        }
    }
    return factor;
}

} // namespace Tarragon
