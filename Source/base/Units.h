#pragma once

#include <chrono>
#include <compare>
#include <cstdint>

namespace Tarragon {

using std::chrono::microseconds;
using std::chrono::milliseconds;
using std::chrono::seconds;

/// Returns the duration in seconds with fractions.
constexpr double inSeconds(microseconds duration)
{
    return std::chrono::duration<double>(duration).count();
}

/// Returns the duration multiplied by the factor, rounded towards zero.
constexpr microseconds scaled(microseconds duration, double factor)
{
    return microseconds(static_cast<std::int64_t>(static_cast<double>(duration.count()) * factor));
}

/// Clock type of monotonic time points. Time points of one process are not comparable with those of
/// another.
struct MonotonicClock
{
    using duration = microseconds;
    using rep = duration::rep;
    using period = duration::period;
    using time_point = std::chrono::time_point<MonotonicClock>;
    static constexpr bool is_steady = true;
};

/// A time point of the process's monotonic clock, in microseconds.
using MonotonicTime = MonotonicClock::time_point;

/// A fraction of a total in parts per million; Share::whole() is the total.
struct Share
{
    std::int64_t partsPerMillion = 0;

    static constexpr Share whole() { return Share{ 1'000'000 }; }
    constexpr double ratio() const { return static_cast<double>(partsPerMillion) / 1e6; }
    friend constexpr auto operator<=>(const Share &, const Share &) = default;
};

/// A data rate in Mbit/s.
struct Mbps
{
    double value = 0;
    friend constexpr auto operator<=>(const Mbps &, const Mbps &) = default;
};

/// A rate in requests per second.
struct RequestRate
{
    double perSecond = 0;
    friend constexpr auto operator<=>(const RequestRate &, const RequestRate &) = default;
};

/// A size in bytes.
struct ByteCount
{
    std::uint64_t value = 0;
    friend constexpr auto operator<=>(const ByteCount &, const ByteCount &) = default;
};

/// Computing capacity of a machine in processor cores.
struct Cores
{
    double value = 0;
    friend constexpr auto operator<=>(const Cores &, const Cores &) = default;
};

/// Number of requests that a target can run concurrently.
struct SlotCount
{
    int value = 0;
    friend constexpr auto operator<=>(const SlotCount &, const SlotCount &) = default;
};

} // namespace Tarragon
