#pragma once

#include "steering/ClientBlockIndex.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <string_view>

namespace Tarragon {

/// Outcome of a lookup.
enum class LookupOutcome : std::uint8_t {
    /// The list holds at least one entry of the serving region.
    Decided,
    /// The document names no such service.
    UnknownService,
    /// No entry of the caller's serving region can be named, and other regions must not serve the
    /// caller. The request must be refused with Verdict::NotRun.
    NoUsableEntry,
};

/// Returns "decided", "unknown-service" or "no-usable-entry".
std::string_view toString(LookupOutcome outcome);

/// Result of a lookup. It has a fixed size, so that a decision allocates no memory; the indexes
/// refer to LookupDecider::regions() and LookupDecider::entries().
struct LookupDecision
{
    static constexpr std::size_t MaxEntries = 4;
    static constexpr std::uint16_t NoRegion = 0xffff;

    LookupOutcome outcome = LookupOutcome::UnknownService;
    /// Whether the caller region comes from a client block; otherwise it is the default region.
    bool matchedBlock = false;
    ClientBlockIndex::Match block;
    std::uint16_t callerRegion = NoRegion;
    std::uint16_t servingRegion = NoRegion;
    std::uint8_t entryCount = 0;
    /// Entries in the order in which the caller should try them.
    std::array<std::uint16_t, MaxEntries> entries{};
};

} // namespace Tarragon
