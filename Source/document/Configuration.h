#pragma once

#include "base/Versions.h"
#include "document/AccessRules.h"
#include "document/PlannedStop.h"
#include "document/ServiceConfiguration.h"
#include "document/ShiftCap.h"
#include "document/Topology.h"

#include <map>
#include <memory>
#include <vector>

namespace Tarragon {

/// An accepted document in parsed form. A configuration is immutable; each new generation of the
/// document is a new object.
struct Configuration
{
    Generation generation;
    AccessRules access;
    Topology topology;
    std::map<ServiceId, ServiceConfiguration> services;
    std::vector<ShiftCap> shifts;
    std::vector<PlannedStop> stops;

    /// Whether a planned stop covers the target, directly or through its domain or region.
    bool isStopped(const Target &target) const;
    /// Whether a planned stop covers the entry instance, directly or through its domain or region.
    bool isStopped(const InstanceId &instance, const FailureDomainId &domain) const;
};

using ConfigurationPtr = std::shared_ptr<const Configuration>;

} // namespace Tarragon
