#pragma once

#include "document/Configuration.h"
#include "steering/Weights.h"

namespace Tarragon {

/// Returns the weights that the document configures, with a row for each service and caller region.
/// A caller region without weights is served by its own region if this region has entries,
/// otherwise by the region with entries that has the smallest link delay. Shares are scaled so that
/// each row adds up to the whole. A row is left out if no region can serve it.
Weights configuredWeights(const Configuration &configuration);

} // namespace Tarragon
