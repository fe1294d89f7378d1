#pragma once

#include "base/StrongId.h"

namespace Tarragon {

/// A service that callers send requests to, such as "catalog".
using ServiceId = StrongId<struct ServiceTag>;

/// A region, made of failure domains.
using RegionId = StrongId<struct RegionTag>;

/// A failure domain, with entry instances and targets of its own.
using FailureDomainId = StrongId<struct FailureDomainTag>;

/// An entry instance as named in the document.
using InstanceId = StrongId<struct InstanceTag>;

/// A target of a service.
using TargetId = StrongId<struct TargetTag>;

/// A team that owns sections of the document.
using TeamId = StrongId<struct TeamTag>;

/// A section of the document, such as "topology" or "services.catalog".
using SectionName = StrongId<struct SectionTag>;

/// A caller's request, by the id that the caller gave it.
using RequestId = StrongId<struct RequestTag>;

} // namespace Tarragon
