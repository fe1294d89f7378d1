#pragma once

#include "base/Units.h"

#include <cstdint>
#include <functional>
#include <optional>
#include <string>

namespace Tarragon {

/// What a simulated target states about its limit.
struct StatedLimit
{
    /// Value of the header field; empty if the target does not send it.
    std::string text;
    /// The limit that the value means, in requests per second; nothing if it means none.
    std::optional<double> perSecond;

    friend bool operator==(const StatedLimit &, const StatedLimit &) = default;
};

/// Returns the statement of a limit as a number.
inline StatedLimit limitOf(double perSecond)
{
    std::string text = std::to_string(perSecond);
    return StatedLimit{ text.substr(0, text.find('.') + 2), perSecond };
}

/// Deployment and load of a LimitSimulation.
struct LimitScenario
{
    int entries = 9;
    /// Number of entries, the first ones, with a build that does not know limits.
    int oldEntries = 0;
    /// Targets of the only service. The first ones state a limit.
    int targets = 12;
    int limitedTargets = 2;
    /// What the limited targets state at a time of the run.
    std::function<StatedLimit(microseconds)> statedAt;
    /// Requests of all callers together.
    double requestsPerSecond = 240;
    /// Fraction of the requests that arrive at the first third of the entries.
    double skew = 0.8;
    /// Number of objects that requests concern; 0 for requests that concern no object.
    int objects = 400;
    int slotsPerTarget = 6;
    /// Requests per second that a cold target tolerates from all entries together.
    double coldRequestsPerSecond = 10;
    /// Mean processing time of a request.
    microseconds work{ 100'000 };
    /// Probability that a limited target responds with a server error.
    double failureRatio = 0;
    microseconds duration{ 20'000'000 };
    std::uint64_t seed = 1;
};

} // namespace Tarragon
