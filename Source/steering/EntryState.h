#pragma once

#include <cstdint>
#include <string_view>

namespace Tarragon {

/// State of an entry, which decides whether a lookup response may name it.
enum class EntryState : std::uint8_t {
    /// Accepts work; lookup responses may name it.
    Live,
    /// Is draining and accepts no new work.
    Leaving,
    /// Counts as failed in the membership, as its heartbeats are missing.
    Unreachable,
};

/// Returns "live", "leaving" or "unreachable".
std::string_view toString(EntryState state);

} // namespace Tarragon
