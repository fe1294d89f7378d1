#pragma once

#include "base/Ids.h"
#include "base/Units.h"
#include "document/Topology.h"

#include <cstdint>

namespace Tarragon {

/// Describes a target as it registers itself in the platform's target registry.
struct DiscoveredTarget
{
    TargetId id;
    ServiceId service;
    Endpoint address;
    FailureDomainId domain;
    SlotCount slots{ 1 };
    /// Whether the target has announced that it will stop.
    bool isDraining = false;
    /// Time for which the target remains cold (slow after its start), counted from the
    /// registration.
    milliseconds coldRemaining{ 0 };
    /// Start time of the target's process in Unix milliseconds by the target's clock; distinguishes
    /// successive processes with the same id. 0 if unknown.
    std::uint64_t startTimeMs = 0;

    friend bool operator==(const DiscoveredTarget &, const DiscoveredTarget &) = default;
};

} // namespace Tarragon
