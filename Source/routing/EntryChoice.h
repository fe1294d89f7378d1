#pragma once

#include "routing/EntryMembership.h"
#include "routing/RouteTable.h"

#include <cstddef>
#include <string_view>
#include <vector>

namespace Tarragon {

/// Maximum number of entries in one lookup response if capacities are equal or unknown.
inline constexpr std::size_t MaxEntriesPerResponse = 64;

/// Number of entries in one lookup response if capacities differ. Callers choose among the named
/// entries at random, so that with more of them, large entries could not be named more often than
/// small ones. With 8 in two failure domains, 0.4 % of the callers know no other entry when a
/// domain fails; with 4 it would be 6 %.
inline constexpr std::size_t SampledEntriesPerResponse = 8;

/// Returns the entries to which a caller in callerRegion may send requests for the host. Prefers
/// serving entries in the caller's region, then those in regions that all routes of the host allow,
/// then those in any region. If these are too many for one response, callerAddress determines
/// which of them are returned; see sampleEntries().
std::vector<EntryRecord> chooseEntries(const EntryMembership &membership, const RouteTable &table,
                                       std::string_view host, const RegionId &callerRegion,
                                       std::string_view callerAddress, MonotonicTime now);

} // namespace Tarragon
