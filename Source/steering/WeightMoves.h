#pragma once

#include "steering/Weights.h"

#include <vector>

namespace Tarragon {

/// Returns the share of callers that weighted rendezvous hashing moves from one candidate to
/// another when the weights change. Candidates are positions in both vectors; weights need not add
/// up to one.
///
/// The result is exact, not an estimate: with more than two candidates some callers also move
/// between candidates whose own weights stay the same, and a cap must count these callers.
double movedShare(const std::vector<double> &before, const std::vector<double> &after,
                  std::size_t from, std::size_t to);

/// Returns the same share for two regions of two rows of weights.
double movedShare(const WeightRow &before, const WeightRow &after, const RegionId &from,
                  const RegionId &to);

} // namespace Tarragon
