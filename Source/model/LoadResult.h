#pragma once

#include "base/Ids.h"
#include "base/Units.h"
#include "routing/RouteTable.h"

#include <nlohmann/json.hpp>

#include <map>
#include <string>
#include <vector>

namespace Tarragon {

/// Numbers of requests by their outcome for callers. A request counts once, whatever its number of
/// attempts.
struct LoadTally
{
    /// All requests that callers made.
    int asked = 0;
    /// Answered within the latency goal, counted from the caller's first attempt.
    int inGoal = 0;
    /// Answered after the latency goal but within the deadline.
    int late = 0;
    /// Refused at the caller's last attempt, without having run.
    int refused = 0;
    /// Not answered within the deadline.
    int failed = 0;

    /// Returns the fraction of requests that were answered within the latency goal; 1 without
    /// requests.
    double inGoalFraction() const;
    LoadTally &operator+=(const LoadTally &other);
};

/// Results of the requests that begin in one window of time.
struct LoadWindow
{
    microseconds begin{ 0 };
    LoadTally tally;
    /// Latencies of the answered requests, sorted.
    std::vector<microseconds> times;
    /// Fraction of the slots' time that was in use, by region of the targets.
    std::map<RegionId, double> utilization;
};

/// Result of the simulation of a load.
struct LoadResult
{
    std::string load;
    std::string policy;
    std::uint64_t seed = 0;
    std::map<RouteName, LoadTally> routes;
    /// By the callers' region.
    std::map<RegionId, LoadTally> regions;
    std::vector<LoadWindow> windows;
    /// Maximum time from the first attempt of a request to its last refusal.
    microseconds longestRefused{ 0 };
    /// Number of retries that callers made after a refusal, each after the refusal's Retry-After.
    int returned = 0;
    /// Number of requests that were answered after such a retry.
    int returnedAnswered = 0;
    /// Maximum number of requests queued at one target, by service.
    std::map<ServiceId, int> longestQueue;

    /// Returns the sum over all routes.
    LoadTally total() const;
    /// Returns the sum over the windows that begin at or after from and before to.
    LoadTally between(microseconds from, microseconds to) const;
};

/// Returns the value below which the given fraction of the sorted values lies; 0 without values.
microseconds quantile(const std::vector<microseconds> &sorted, double fraction);

/// Converts the result to JSON. Times are in milliseconds.
nlohmann::json toJson(const LoadResult &result);

} // namespace Tarragon
