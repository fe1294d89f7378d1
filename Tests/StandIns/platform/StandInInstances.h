#pragma once

#include "base/Units.h"

#include <nlohmann/json.hpp>

#include <deque>

namespace Tarragon {

/// The stand-in's list of instances, which shows a change only after a lag.
class StandInInstances
{
public:
    /// Replaces the list, as JSON of the object API.
    void set(nlohmann::json instances, MonotonicTime now);
    /// The list as it was before the lag; empty if there was none.
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
