#pragma once

#include "base/Units.h"

#include <nlohmann/json.hpp>

namespace Tarragon {

/// Faults of the stand-in that are switched on by POST /control.
struct StandInFaults
{
    /// Fails all calls of the object API.
    bool outage = false;
    /// How an outage shows: connections are refused, or calls are answered with 503.
    bool refusesConnections = false;
    /// Time between a call's effect and its answer.
    milliseconds delay{ 0 };
    /// Time between a call's arrival and its effect.
    milliseconds effectDelay{ 0 };
    /// Number of writes from now on that take effect without an answer.
    int loseAnswers = 0;
    milliseconds listLag{ 0 };

    /// Takes over the switches that the JSON names. Throws Error for unknown ones or wrong values.
    void update(const nlohmann::json &json);
    nlohmann::json toJson() const;
};

} // namespace Tarragon
