#pragma once

#include "base/StrongNumber.h"

namespace Tarragon {

/// Number of an accepted document; every accepted document has the number after its predecessor's.
/// 0 means none.
using Generation = StrongNumber<struct GenerationTag>;

/// Version of the steering plan, used as its fencing token. 0 means none.
using PlanVersion = StrongNumber<struct PlanVersionTag>;

/// Version of an object in the platform's store. 0 means that the object does not exist.
using ObjectVersion = StrongNumber<struct ObjectVersionTag>;

/// Random number that an entry instance chooses at its start; distinguishes a restarted instance
/// from its predecessor with the same id.
using Incarnation = StrongNumber<struct IncarnationTag>;

} // namespace Tarragon
