#pragma once

#include <cstdint>
#include <cstdlib>

namespace Tarragon {

/// Returns the first seed that randomized tests play: the value of TARRAGON_SEED, or 1.
inline std::uint64_t firstSeed()
{
    const char *text = std::getenv("TARRAGON_SEED");
    return text == nullptr ? 1 : std::strtoull(text, nullptr, 10);
}

} // namespace Tarragon
