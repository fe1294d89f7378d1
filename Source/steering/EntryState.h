#pragma once

#include <cstdint>
#include <string_view>

namespace Tarragon {

/// Whether a lookup may name an entry.
enum class EntryState : std::uint8_t {
    /// May be named.
    Live,
    /// Takes no new work.
    Leaving,
    /// Not heard from by the membership.
    Unreachable,
};

/// "live", "leaving" or "unreachable".
std::string_view toString(EntryState state);

} // namespace Tarragon
