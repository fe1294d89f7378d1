#pragma once

#include "routing/EntryMembership.h"

#include <cstddef>
#include <string_view>
#include <vector>

namespace Tarragon {

/// How the capacities of entries affect which of them are sampled.
enum class EntryWeighting {
    /// All entries are equally likely.
    Equal,
    /// Entries are as likely as their capacities are large. All must state one.
    ByCapacity,
};

/// Returns count of the entries, or all if there are no more. Which ones depends on the caller, so
/// that all callers together get each entry in proportion to its weight, as far as count allows: an
/// entry with more than 1 / count of the total weight is returned to every caller.
///
/// This is Pareto sampling (Rosén, "On sampling with probability proportional to size", 1997) with
/// the hash of caller and entry as random number. A caller gets the same entries from every process
/// that knows the same entries, and mostly keeps those that remain when others join or leave.
std::vector<EntryRecord> sampleEntries(const std::vector<EntryRecord> &entries,
                                       std::string_view caller, std::size_t count,
                                       EntryWeighting weighting);

} // namespace Tarragon
