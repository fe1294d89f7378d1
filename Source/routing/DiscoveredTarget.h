#pragma once

#include "base/Ids.h"
#include "base/Units.h"
#include "document/Topology.h"

#include <cstdint>

namespace Tarragon {

/// What a target says of itself in the platform's registry.
struct DiscoveredTarget
{
    TargetId id;
    ServiceId service;
    Endpoint address;
    FailureDomainId domain;
    SlotCount slots{ 1 };
    /// Whether it has announced that it will stop.
    bool isDraining = false;
    /// How long it stays cold, from the time of the report.
    milliseconds coldRemaining{ 0 };
    /// Start of the process, in Unix milliseconds of the target's clock; tells runs under one id
    /// apart. 0 if unknown.
    std::uint64_t bornMs = 0;

    friend bool operator==(const DiscoveredTarget &, const DiscoveredTarget &) = default;
};

} // namespace Tarragon
