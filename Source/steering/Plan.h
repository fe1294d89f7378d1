#pragma once

#include "base/Ids.h"
#include "base/Versions.h"
#include "steering/Weights.h"

#include <map>
#include <memory>
#include <string>

namespace Tarragon {

/// A steering plan, the object "plan/current". It never changes; a greater version replaces it.
struct Plan
{
    PlanVersion version;
    /// Generation of the document that the plan was made from.
    Generation generation;
    /// Instance that made the plan.
    InstanceId maker;
    /// Each row adds up to the whole.
    Weights weights;
    /// Rows that replace those of "weights" while the given region is lost. They do not name that
    /// region. What is missing to the whole is not assigned: it is refused and not forwarded,
    /// because no other region can carry it.
    std::map<RegionId, Weights> failover;

    friend bool operator==(const Plan &, const Plan &) = default;
};

using PlanPtr = std::shared_ptr<const Plan>;

/// JSON form of a plan, as stored and as sent between entries. Shares are parts per million.
std::string serializePlan(const Plan &plan);

/// Parses and validates the JSON form: version and maker set, rows of weights that add up to the
/// whole, failover rows that add up to at most the whole and do not name the lost region, no
/// unknown keys. Throws Error naming the key at fault.
Plan parsePlan(const std::string &json);

} // namespace Tarragon
