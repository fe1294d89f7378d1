#pragma once

#include "routing/EntryMembership.h"
#include "routing/RouteTable.h"

#include <cstdint>
#include <string_view>
#include <vector>

namespace Tarragon {

/// Maximum number of entries in one lookup response.
inline constexpr std::size_t MaxEntriesPerResponse = 64;

/// Returns the entries to which a caller in callerRegion may send requests for the host. Prefers
/// serving entries in the caller's region, then those in regions that all routes of the host allow,
/// then those in any region. If there are more than MaxEntriesPerResponse, returns a random
/// selection determined by the seed.
std::vector<EntryRecord> chooseEntries(const EntryMembership &membership, const RouteTable &table,
                                       std::string_view host, const RegionId &callerRegion,
                                       std::uint64_t seed, MonotonicTime now);

} // namespace Tarragon
