#pragma once

#include "base/Units.h"

#include <nlohmann/json.hpp>

namespace Tarragon {

/// Faults of the platform stand-in, set by POST /control.
struct StandInFaults
{
    /// Fails all calls of the object API.
    bool outage = false;
    /// Whether connections are refused during an outage; otherwise calls fail with 503.
    bool refusesConnections = false;
    /// Time between the effect of a call and its response.
    milliseconds delay{ 0 };
    /// Time between the arrival of a call and its effect.
    milliseconds effectDelay{ 0 };
    /// Number of following writes that take effect but whose connection is aborted instead of
    /// sending a response.
    int loseAnswers = 0;
    /// Time after which a change of the instance list becomes visible.
    milliseconds listLag{ 0 };

    /// Sets the faults named in the JSON. Throws Error for an unknown name or an unknown
    /// outageKind.
    void update(const nlohmann::json &json);
    nlohmann::json toJson() const;
};

} // namespace Tarragon
