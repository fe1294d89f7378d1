#pragma once

#include "base/StrongNumber.h"
#include "routing/RequestFingerprint.h"

#include <cstddef>
#include <cstdint>
#include <set>

namespace Tarragon {

/// End of one process of a target, by a hash of the target's id and start time.
using TargetEnding = StrongNumber<struct TargetEndingTag>;

/// Counts how often a request was cleared of suspicion.
using ClearanceCount = StrongNumber<struct ClearanceCountTag>;

/// What is known about a request that was at targets when they ended. All requests at a target are
/// suspected when it ends; those that did not cause it are cleared when another target completes
/// them.
struct SuspectRecord
{
    /// Number of endings that are recorded; more are not told apart.
    static constexpr std::size_t MaxEndings = 8;

    RequestFingerprint fingerprint;
    ClearanceCount clearances;
    /// Targets that ended while the request was at them, since it was last cleared.
    std::set<TargetEnding> endings;
    /// Trials permitted after the third ending.
    std::uint32_t lateTrials = 0;

    bool isSuspect() const { return !endings.empty(); }

    friend bool operator==(const SuspectRecord &, const SuspectRecord &) = default;
};

} // namespace Tarragon
