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

/// Returns the hash of a key for a candidate as a number above 0 and below 1.
inline double rendezvousUnit(std::uint64_t key, std::uint64_t candidate)
{
    constexpr double Scale = 0x1p-53;
    const std::uint64_t bits = rendezvousHash(key, candidate) >> 11U;
    return (static_cast<double>(bits) + 0.5) * Scale;
}

/// Returns the score of a candidate from its rendezvousUnit(). The weight must be above 0. The
/// candidate with the lowest score is chosen, which each candidate is with a probability
/// proportional to its weight, because -ln(uniform) / weight is exponentially distributed with the
/// weight as its rate.
inline double rendezvousScore(double unit, double weight)
{
    return -std::log(unit) / weight;
}

/// Returns the score of a candidate for a key.
inline double rendezvousScore(std::uint64_t key, std::uint64_t candidate, double weight)
{
    return rendezvousScore(rendezvousUnit(key, candidate), weight);
}

} // namespace Tarragon
