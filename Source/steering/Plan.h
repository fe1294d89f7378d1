#pragma once

#include "base/Ids.h"
#include "base/Versions.h"
#include "steering/Weights.h"

#include <map>
#include <memory>
#include <string>

namespace Tarragon {

/// A steering plan, stored as the object "plan/current". A plan is immutable; it is replaced by a
/// plan of a greater version.
struct Plan
{
    PlanVersion version;
    /// Generation of the document that the plan was made from.
    Generation generation;
    /// Instance that made the plan.
    InstanceId maker;
    /// Each row adds up to the whole.
    Weights weights;
    /// Rows that replace those of "weights" while the region given as key is lost. They do not name
    /// the lost region. If a row adds up to less than the whole, the rest is unassigned: its
    /// requests are refused and not forwarded, because no other region can carry them.
    std::map<RegionId, Weights> failover;

    friend bool operator==(const Plan &, const Plan &) = default;
};

using PlanPtr = std::shared_ptr<const Plan>;

/// Returns the JSON form of a plan, as stored and as sent between entries. Shares are in parts per
/// million.
std::string serializePlan(const Plan &plan);

/// Parses and validates the JSON form of a plan. Version, generation and maker must be set, rows of
/// weights must add up to the whole, failover rows must add up to at most the whole and must not
/// name the lost region, and there must be no unknown keys. Throws Error naming the faulty key.
Plan parsePlan(const std::string &json);

} // namespace Tarragon
