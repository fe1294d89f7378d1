#include "steering/PeakCalendar.h"

#include "base/Error.h"

#include <gtest/gtest.h>

namespace Tarragon {
namespace {

using std::chrono::day;
using std::chrono::hours;
using std::chrono::local_days;
using std::chrono::minutes;
using std::chrono::month;
using std::chrono::sys_days;
using std::chrono::year;

// In Athens the clock changes from 03:00 to 04:00 on 29 March 2026 and from 04:00 to 03:00 on
// 25 October 2026, both at 01:00 UTC.
constexpr std::chrono::year_month_day SpringChange(year(2026), month(3), day(29));
constexpr std::chrono::year_month_day AutumnChange(year(2026), month(10), day(25));

DailyPeak athens(minutes start, minutes end)
{
    return { "Europe/Athens", start, end, 3 };
}

PeakInterval utc(std::chrono::year_month_day date, minutes start, minutes end)
{
    return { sys_days(date) + start, sys_days(date) + end };
}

// With a fixed offset from UTC the peak would be wrong by an hour for half of the year.
TEST(PeakCalendar, FollowsCivilTimeOverTheYear)
{
    const DailyPeak peak = athens(hours(9), hours(12));
    const std::chrono::year_month_day winter(year(2026), month(1), day(15));
    const std::chrono::year_month_day summer(year(2026), month(7), day(15));
    EXPECT_EQ(peakOn(peak, local_days(winter)), utc(winter, hours(7), hours(10)));
    EXPECT_EQ(peakOn(peak, local_days(summer)), utc(summer, hours(6), hours(9)));
}

TEST(PeakCalendar, TimesInTheSkippedHourMoveToTheClockChange)
{
    EXPECT_EQ(peakOn(athens(minutes(210), hours(6)), local_days(SpringChange)),
              utc(SpringChange, hours(1), hours(3)));
    EXPECT_EQ(peakOn(athens(hours(2), minutes(210)), local_days(SpringChange)),
              utc(SpringChange, hours(0), hours(1)));
    EXPECT_EQ(peakOn(athens(hours(2), hours(5)), local_days(SpringChange)),
              utc(SpringChange, hours(0), hours(2)));
}

// If the end of a peak lies in the repeated hour and its first occurrence were used, the peak would
// end an hour early.
TEST(PeakCalendar, ThePeakIncludesBothOccurrencesOfARepeatedHour)
{
    EXPECT_EQ(peakOn(athens(minutes(210), hours(6)), local_days(AutumnChange)),
              utc(AutumnChange, minutes(30), hours(4)));
    EXPECT_EQ(peakOn(athens(hours(2), minutes(210)), local_days(AutumnChange)),
              utc(AutumnChange, -hours(1), minutes(90)));
}

TEST(PeakCalendar, APeakMayEndAfterMidnight)
{
    const std::vector<DailyPeak> peaks = { athens(hours(22), hours(2)) };
    const std::chrono::year_month_day date(year(2026), month(1), day(15));
    const UtcTime midnight = sys_days(date) - hours(2);
    EXPECT_EQ(largestPeakFactor(peaks, midnight + hours(1), midnight + hours(1)), 3);
    EXPECT_EQ(largestPeakFactor(peaks, midnight + hours(2), midnight + hours(2)), 1);
    EXPECT_EQ(largestPeakFactor(peaks, midnight + hours(21), midnight + hours(21)), 1);
    EXPECT_EQ(largestPeakFactor(peaks, midnight + hours(21), midnight + hours(22)), 3);
}

// Checks every second around both clock changes: the factor must change exactly twice a day.
TEST(PeakCalendar, NoGapsAroundTheClockChanges)
{
    for (const std::chrono::year_month_day &date : { SpringChange, AutumnChange }) {
        const std::vector<DailyPeak> peaks = { athens(minutes(210), hours(5)) };
        const UtcTime start = sys_days(date) - hours(2);
        int switches = 0;
        double before = 1;
        for (seconds t(0); t < hours(10); t += seconds(10)) {
            const double factor = largestPeakFactor(peaks, start + t, start + t);
            switches += factor != before ? 1 : 0;
            before = factor;
        }
        EXPECT_EQ(switches, 2);
    }
}

TEST(PeakCalendar, UnknownTimeZoneIsAnError)
{
    EXPECT_THROW(peakOn({ "Europe/Nowhere", hours(1), hours(2), 2 }, local_days(SpringChange)),
                 Error);
}

} // namespace
} // namespace Tarragon
