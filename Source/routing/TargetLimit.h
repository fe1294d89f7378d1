#pragma once

#include "base/StrongNumber.h"
#include "base/Units.h"

#include <optional>

namespace Tarragon {

/// Counts the changes of what is known about a target's limit. An entry that observes a change uses
/// the next version, so that the latest observation wins when entries exchange their knowledge.
using LimitVersion = StrongNumber<struct LimitVersionTag>;

/// Limit that a target has stated for the requests of all entries together.
struct TargetLimit
{
    /// Not set if the target states no limit (any more).
    std::optional<RequestRate> rate;
    LimitVersion version;

    friend bool operator==(const TargetLimit &, const TargetLimit &) = default;
};

} // namespace Tarragon
