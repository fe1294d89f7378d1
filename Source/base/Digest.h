#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace Tarragon {

/// Returns the SHA-256 of the data as 64 lower-case hexadecimal digits. Throws Error if OpenSSL
/// fails.
std::string sha256Hex(std::string_view data);

/// Returns the 64-bit XXH3 hash of the data with the given seed; it is the same on every machine.
std::uint64_t stableHash(std::string_view data, std::uint64_t seed = 0);

/// Maps the hash to a number from 0 inclusive to 1 exclusive.
constexpr double unitInterval(std::uint64_t hash)
{
    return static_cast<double>(hash >> 11U) * 0x1p-53;
}

/// Returns random bits from OpenSSL's cryptographically secure generator. Throws Error if it fails.
std::uint64_t strongRandom();

/// Whether two secrets are equal. The comparison takes a time that depends on their lengths only,
/// so that the time reveals nothing about their contents.
bool secretsEqual(std::string_view a, std::string_view b);

} // namespace Tarragon
