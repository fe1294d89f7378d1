#include "steering/RequestIdSeed.h"

#include "base/Error.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <cstdint>

namespace Tarragon {
namespace {

std::string hex(std::uint64_t number)
{
    std::array<char, 16> buf{};
    const std::to_chars_result end = std::to_chars(buf.data(), buf.data() + buf.size(), number, 16);
    return { buf.data(), end.ptr };
}

std::optional<std::uint64_t> parseHex(std::string_view text)
{
    std::uint64_t number = 0;
    const std::from_chars_result end =
            std::from_chars(text.data(), text.data() + text.size(), number, 16);
    // Only the format written by hex() is accepted, so that each id has exactly one text.
    if (end.ec != std::errc() || end.ptr != text.data() + text.size() || hex(number) != text) {
        return std::nullopt;
    }
    return number;
}

bool isCallerCharacter(char c)
{
    return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9') || c == '.'
           || c == '-' || c == '_';
}

} // namespace

std::string toString(const RequestIdSeed &seed)
{
    for (const InstanceId &it : { seed.primary, seed.backup }) {
        if (it.isEmpty() || it.value().find('.') != std::string::npos) {
            throw Error("instance id \"" + it.value()
                        + "\" cannot be part of a request id, expected a name without dots");
        }
    }
    return seed.primary.value() + '.' + hex(seed.primaryIncarnation.value()) + '.'
           + seed.backup.value() + '.' + hex(seed.backupIncarnation.value()) + '.'
           + hex(seed.generation.value());
}

std::optional<std::pair<RequestIdSeed, std::string>> parseRequestId(std::string_view text)
{
    if (text.size() > MaxRequestIdLength) {
        return std::nullopt;
    }
    std::array<std::string_view, 5> parts;
    for (std::string_view &it : parts) {
        const std::size_t dot = text.find('.');
        if (dot == 0 || dot == std::string_view::npos) {
            return std::nullopt;
        }
        it = text.substr(0, dot);
        text.remove_prefix(dot + 1);
    }
    const std::optional<std::uint64_t> primary = parseHex(parts[1]);
    const std::optional<std::uint64_t> backup = parseHex(parts[3]);
    const std::optional<std::uint64_t> generation = parseHex(parts[4]);
    if (!primary || !backup || !generation || text.empty()
        || !std::all_of(text.begin(), text.end(), isCallerCharacter)) {
        return std::nullopt;
    }
    return std::make_pair(RequestIdSeed{ InstanceId(std::string(parts[0])), Incarnation(*primary),
                                         InstanceId(std::string(parts[2])), Incarnation(*backup),
                                         SeedGeneration(*generation) },
                          std::string(text));
}

} // namespace Tarragon
