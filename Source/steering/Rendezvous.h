#pragma once

// A lookup decision computes the hashes of about a hundred candidates, so the hash functions are
// compiled inline.
#define XXH_INLINE_ALL
#include <xxhash.h>

#include <cmath>
#include <cstdint>

namespace Tarragon {

/// Returns the hash of a key for one of several candidates, by which the candidates are ranked. It
/// equals stableHash() of the key's bytes with the candidate as seed.
inline std::uint64_t rendezvousHash(std::uint64_t key, std::uint64_t candidate)
{
    return XXH3_64bits_withSeed(&key, sizeof key, candidate);
}

/// Returns the score of a candidate. The weight must be above 0. The candidate with the lowest
/// score is chosen, which each candidate is with a probability proportional to its weight, because
/// -ln(uniform) / weight is exponentially distributed with the weight as its rate.
inline double rendezvousScore(std::uint64_t key, std::uint64_t candidate, double weight)
{
    constexpr double Scale = 0x1p-53;
    const std::uint64_t bits = rendezvousHash(key, candidate) >> 11U;
    return -std::log((static_cast<double>(bits) + 0.5) * Scale) / weight;
}

} // namespace Tarragon
