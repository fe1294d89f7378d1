#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace Tarragon {

/// SHA-256 of the data as 64 lower-case hexadecimal digits. Throws Error if the library fails.
std::string sha256Hex(std::string_view data);

/// 64-bit XXH3 hash of the data with the given seed; the same on every machine.
std::uint64_t stableHash(std::string_view data, std::uint64_t seed = 0);

/// The hash as a number from 0 to below 1.
constexpr double unitInterval(std::uint64_t hash)
{
    return static_cast<double>(hash >> 11U) * 0x1p-53;
}

/// Random bits from the operating system's strong generator. Throws Error if it fails.
std::uint64_t strongRandom();

/// Compares two secrets in a time that depends on their lengths only.
bool secretsEqual(std::string_view a, std::string_view b);

} // namespace Tarragon
