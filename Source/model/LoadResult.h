#pragma once

#include "base/Ids.h"
#include "base/Units.h"
#include "routing/RouteTable.h"

#include <nlohmann/json.hpp>

#include <map>
#include <string>
#include <vector>

namespace Tarragon {

/// How requests ended for their callers. A request counts once, however often it was asked.
struct LoadTally
{
    int asked = 0;
    /// Answered within the latency goal, counted from the caller's first attempt.
    int inGoal = 0;
    /// Answered later than that.
    int late = 0;
    /// Refused at the last attempt, stated as not run.
    int refused = 0;
    /// Not answered within the deadline, or failed.
    int failed = 0;

    double inGoalPart() const;
    LoadTally &operator+=(const LoadTally &other);
};

/// What happened in one span of a played load.
struct LoadWindow
{
    microseconds begin{ 0 };
    LoadTally tally;
    /// Times of the answered requests, sorted.
    std::vector<microseconds> times;
    /// Part of the slots' time that was in use, by region.
    std::map<RegionId, double> use;
};

/// What callers got from a played load.
struct LoadResult
{
    std::string load;
    std::string policy;
    std::uint64_t seed = 0;
    std::map<RouteName, LoadTally> routes;
    /// By the callers' region.
    std::map<RegionId, LoadTally> regions;
    std::vector<LoadWindow> windows;
    /// Longest time from the first attempt to the last refusal.
    microseconds longestRefused{ 0 };
    /// Callers that came back after a refusal at the time they were told, and those of them that
    /// were answered.
    int returned = 0;
    int returnedAnswered = 0;
    /// Most requests that waited at one target, by service.
    std::map<ServiceId, int> longestQueue;

    LoadTally total() const;
    /// The tally of the windows that begin within a span.
    LoadTally between(microseconds from, microseconds to) const;
};

/// The value below which the given part of the sorted values lies; 0 without values.
microseconds quantile(const std::vector<microseconds> &sorted, double part);

/// The result as JSON; times are in milliseconds.
nlohmann::json toJson(const LoadResult &result);

} // namespace Tarragon
