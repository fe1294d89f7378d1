#pragma once

#include <charconv>
#include <optional>
#include <string_view>
#include <system_error>

namespace Tarragon {

/// Parses a text that consists of a number only. Returns nothing for any other text and for a
/// number that is out of the type's range.
template<typename Number>
std::optional<Number> parseNumber(std::string_view text)
{
    Number value{};
    const char *end = text.data() + text.size();
    const std::from_chars_result result = std::from_chars(text.data(), end, value);
    if (result.ec != std::errc() || result.ptr != end) {
        return std::nullopt;
    }
    return value;
}

} // namespace Tarragon
