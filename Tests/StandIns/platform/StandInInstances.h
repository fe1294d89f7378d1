#pragma once

#include "base/Units.h"

#include <nlohmann/json.hpp>

#include <deque>

namespace Tarragon {

/// List of instances of the platform stand-in. A change becomes visible only after a lag.
class StandInInstances
{
public:
    /// Replaces the list with a JSON array of instances.
    void set(nlohmann::json instances, MonotonicTime now);
    /// Returns the list as it was at the given time minus the lag; an empty array if there was
    /// none.
    nlohmann::json visible(MonotonicTime now, milliseconds lag) const;

private:
    struct Change
    {
        MonotonicTime at;
        nlohmann::json instances;
    };

    std::deque<Change> m_changes;
};

} // namespace Tarragon
