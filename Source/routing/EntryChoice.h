#pragma once

#include "routing/EntryRoster.h"
#include "routing/RouteTable.h"

#include <cstdint>
#include <string_view>
#include <vector>

namespace Tarragon {

/// Entries that one answer names at most.
inline constexpr std::size_t MaxEntriesNamed = 64;

/// Entries for a caller of the region that asks for a host: those of its region, and if there are
/// none, those of regions in which all of the host's routes may be handled, else any. The seed
/// decides which of them are named if there are more than one answer may name.
std::vector<EntryRecord> chooseEntries(const EntryRoster &roster, const RouteTable &table,
                                       std::string_view host, const RegionId &callerRegion,
                                       std::uint64_t seed, MonotonicTime now);

} // namespace Tarragon
