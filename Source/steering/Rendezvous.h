#pragma once

// A decision ranks about a hundred candidates, so the library is compiled inline here.
#define XXH_INLINE_ALL
#include <xxhash.h>

#include <cmath>
#include <cstdint>

namespace Tarragon {

/// Hash of a key for one of several candidates, of which the user takes the one ranked first. The
/// same as stableHash() of the key's bytes with the candidate as seed.
inline std::uint64_t rendezvousHash(std::uint64_t key, std::uint64_t candidate)
{
    return XXH3_64bits_withSeed(&key, sizeof key, candidate);
}

/// Score of a candidate of the given weight, above 0; the lowest score wins. Candidates win with
/// a probability proportional to their weight, because -ln(uniform) / weight is exponentially
/// distributed with the weight as its rate.
inline double rendezvousScore(std::uint64_t key, std::uint64_t candidate, double weight)
{
    constexpr double Scale = 0x1p-53;
    const std::uint64_t bits = rendezvousHash(key, candidate) >> 11U;
    return -std::log((static_cast<double>(bits) + 0.5) * Scale) / weight;
}

} // namespace Tarragon
