#include "document/ValueFormats.h"

#include "base/ParseNumber.h"

#include <arpa/inet.h>

#include <algorithm>
#include <array>
#include <charconv>
#include <cmath>
#include <cstdio>
#include <limits>

namespace Tarragon {

namespace {

struct DurationUnit
{
    const char *suffix;
    std::int64_t milliseconds;
};

// Largest unit first: formatDuration() uses the first unit that divides the duration.
constexpr std::array<DurationUnit, 4> DurationUnits = { {
        { "h", 3'600'000 },
        { "min", 60'000 },
        { "s", 1'000 },
        { "ms", 1 },
} };

bool isDigits(std::string_view text)
{
    return !text.empty()
           && std::all_of(text.begin(), text.end(), [](char c) { return c >= '0' && c <= '9'; });
}

/// Splits a text such as "12.5ms" into the number and the unit.
std::pair<std::string_view, std::string_view> splitUnit(std::string_view text)
{
    const std::size_t n = std::min(text.find_first_not_of("0123456789."), text.size());
    return { text.substr(0, n), text.substr(n) };
}

std::optional<double> parseDecimal(std::string_view text)
{
    if (text.empty() || text.front() == '.' || text.back() == '.') {
        return std::nullopt;
    }
    double value = 0;
    const char *end = text.data() + text.size();
    const std::from_chars_result result =
            std::from_chars(text.data(), end, value, std::chars_format::fixed);
    if (result.ec != std::errc() || result.ptr != end || !std::isfinite(value)) {
        return std::nullopt;
    }
    return value;
}

std::string formatNumber(double value)
{
    std::array<char, 32> buf{};
    const int n = std::snprintf(buf.data(), buf.size(), "%g", value);
    return std::string(buf.data(), std::size_t(n));
}

std::string formatShare(Share share)
{
    return formatNumber(share.ratio() * 100) + "%";
}

std::optional<std::uint32_t> parseAddress(const std::string &text)
{
    in_addr address{};
    if (inet_pton(AF_INET, text.c_str(), &address) != 1) {
        return std::nullopt;
    }
    return ntohl(address.s_addr);
}

bool hasControlCharacter(const std::string &text)
{
    return std::any_of(text.begin(), text.end(),
                       [](char c) { return static_cast<unsigned char>(c) < 0x20 || c == 0x7f; });
}

} // namespace

std::optional<int> IntegerFormat::operator()(const std::string &text) const
{
    const std::optional<int> value = parseNumber<int>(text);
    return value && *value >= min && *value <= max ? value : std::nullopt;
}

std::string IntegerFormat::expected() const
{
    return "a whole number from " + std::to_string(min) + " to " + std::to_string(max);
}

std::optional<double> NumberFormat::operator()(const std::string &text) const
{
    const std::optional<double> value = parseDecimal(text);
    return value && *value >= min && *value <= max ? value : std::nullopt;
}

std::string NumberFormat::expected() const
{
    return "a number from " + formatNumber(min) + " to " + formatNumber(max);
}

std::optional<SlotCount> SlotCountFormat::operator()(const std::string &text) const
{
    const std::optional<int> value = IntegerFormat{ 1, MaxSlots }(text);
    return value ? std::optional<SlotCount>(SlotCount{ *value }) : std::nullopt;
}

std::string SlotCountFormat::expected() const
{
    return IntegerFormat{ 1, MaxSlots }.expected();
}

std::optional<milliseconds> DurationFormat::operator()(const std::string &text) const
{
    const auto [number, suffix] = splitUnit(text);
    const std::optional<std::int64_t> count =
            isDigits(number) ? parseNumber<std::int64_t>(number) : std::nullopt;
    if (!count) {
        return std::nullopt;
    }
    for (const DurationUnit &unit : DurationUnits) {
        if (suffix != unit.suffix
            || *count > std::numeric_limits<std::int64_t>::max() / unit.milliseconds) {
            continue;
        }
        const milliseconds value(*count * unit.milliseconds);
        return value >= min && value <= max ? std::optional(value) : std::nullopt;
    }
    return std::nullopt;
}

std::string DurationFormat::expected() const
{
    return "a duration from " + formatDuration(min) + " to " + formatDuration(max)
           + " with unit ms, s, min or h";
}

std::optional<seconds> SecondsFormat::operator()(const std::string &text) const
{
    const std::optional<milliseconds> value = DurationFormat{ min, max }(text);
    if (!value || *value % seconds(1) != milliseconds(0)) {
        return std::nullopt;
    }
    return std::chrono::duration_cast<seconds>(*value);
}

std::string SecondsFormat::expected() const
{
    return "a duration of whole seconds from " + formatDuration(min) + " to " + formatDuration(max)
           + " with unit ms, s, min or h";
}

std::optional<Share> ShareFormat::operator()(const std::string &text) const
{
    static constexpr std::size_t MaxDecimals = 4;
    static constexpr std::size_t MaxWholeDigits = 6;
    const auto [number, suffix] = splitUnit(text);
    const std::size_t dot = number.find('.');
    const std::string_view whole = number.substr(0, dot);
    std::string decimals(dot == std::string_view::npos ? "0" : number.substr(dot + 1));
    if (suffix != "%" || !isDigits(whole) || whole.size() > MaxWholeDigits || !isDigits(decimals)
        || decimals.size() > MaxDecimals) {
        return std::nullopt;
    }
    decimals.resize(MaxDecimals, '0');
    const Share share{ *parseNumber<std::int64_t>(whole) * 10'000
                       + *parseNumber<std::int64_t>(decimals) };
    return share >= min && share <= max ? std::optional(share) : std::nullopt;
}

std::string ShareFormat::expected() const
{
    return "a percentage from " + formatShare(min) + " to " + formatShare(max)
           + " with at most four decimals";
}

std::optional<Mbps> RateFormat::operator()(const std::string &text) const
{
    const auto [number, suffix] = splitUnit(text);
    const std::optional<double> value = parseDecimal(number);
    if (!value || suffix != "Mbit/s" || *value <= 0 || *value > MaxMbps) {
        return std::nullopt;
    }
    return Mbps{ *value };
}

std::string RateFormat::expected() const
{
    return "a data rate above 0 with unit Mbit/s, such as 400Mbit/s";
}

std::optional<bool> BoolFormat::operator()(const std::string &text) const
{
    if (text != "true" && text != "false") {
        return std::nullopt;
    }
    return text == "true";
}

std::string BoolFormat::expected() const
{
    return "true or false";
}

std::optional<std::string> TextFormat::operator()(const std::string &text) const
{
    if (text.size() < minLength || text.size() > maxLength || hasControlCharacter(text)) {
        return std::nullopt;
    }
    return text;
}

std::string TextFormat::expected() const
{
    return "text of " + std::to_string(minLength) + " to " + std::to_string(maxLength)
           + " bytes on one line";
}

std::optional<Endpoint> EndpointFormat::operator()(const std::string &text) const
{
    const std::size_t colon = text.find(':');
    if (colon == std::string::npos || !isDigits(std::string_view(text).substr(colon + 1))) {
        return std::nullopt;
    }
    const std::string address = text.substr(0, colon);
    const std::optional<std::uint16_t> port =
            parseNumber<std::uint16_t>(std::string_view(text).substr(colon + 1));
    if (!parseAddress(address) || !port || *port == 0) {
        return std::nullopt;
    }
    return Endpoint{ address, *port };
}

std::string EndpointFormat::expected() const
{
    return "an IPv4 address and port, such as 127.0.1.1:8080";
}

std::optional<std::string> AddressFormat::operator()(const std::string &text) const
{
    return parseAddress(text) ? std::optional(text) : std::nullopt;
}

std::string AddressFormat::expected() const
{
    return "an IPv4 address, such as 127.0.1.1";
}

std::optional<ClientBlock> ClientBlockFormat::operator()(const std::string &text) const
{
    static constexpr int AddressBits = 32;
    const std::size_t slash = text.find('/');
    if (slash == std::string::npos || !isDigits(std::string_view(text).substr(slash + 1))) {
        return std::nullopt;
    }
    const std::optional<std::uint32_t> network = parseAddress(text.substr(0, slash));
    const std::optional<int> length = IntegerFormat{ 0, AddressBits }(text.substr(slash + 1));
    if (!network || !length) {
        return std::nullopt;
    }
    const std::uint64_t hostBits = (std::uint64_t(1) << unsigned(AddressBits - *length)) - 1;
    if ((*network & hostBits) != 0) {
        return std::nullopt;
    }
    return ClientBlock{ *network, *length, RegionId() };
}

std::string ClientBlockFormat::expected() const
{
    return "an IPv4 block such as 10.1.0.0/16 with no bit set behind the prefix";
}

std::optional<std::chrono::minutes> TimeOfDayFormat::operator()(const std::string &text) const
{
    static constexpr std::size_t Length = 5;
    if (text.size() != Length || text[2] != ':') {
        return std::nullopt;
    }
    const std::string_view view = text;
    if (!isDigits(view.substr(0, 2)) || !isDigits(view.substr(3))) {
        return std::nullopt;
    }
    const int hours = *parseNumber<int>(view.substr(0, 2));
    const int minutes = *parseNumber<int>(view.substr(3));
    if (minutes > 59 || hours > 24 || (hours == 24 && minutes > 0)) {
        return std::nullopt;
    }
    return std::chrono::hours(hours) + std::chrono::minutes(minutes);
}

std::string TimeOfDayFormat::expected() const
{
    return "a time of day from \"00:00\" to \"24:00\"";
}

std::optional<std::string> Sha256Format::operator()(const std::string &text) const
{
    static constexpr std::size_t Length = 64;
    if (text.size() != Length || text.find_first_not_of("0123456789abcdef") != std::string::npos) {
        return std::nullopt;
    }
    return text;
}

std::string Sha256Format::expected() const
{
    return "a SHA-256 digest of 64 lower-case hexadecimal digits";
}

std::optional<std::string> PathFormat::operator()(const std::string &text) const
{
    static constexpr std::size_t MaxLength = 1024;
    if (text.empty() || text.front() != '/' || text.size() > MaxLength || hasControlCharacter(text)
        || text.find_first_of(" ?#") != std::string::npos) {
        return std::nullopt;
    }
    return text;
}

std::string PathFormat::expected() const
{
    return "a path that starts with '/' and has no blank, '?' or '#'";
}

bool isIdentifier(const std::string &text, bool dotAllowed)
{
    const auto isAlphanumeric = [](char c) {
        return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9');
    };
    return !text.empty() && text.size() <= MaxIdLength && isAlphanumeric(text.front())
           && std::all_of(text.begin(), text.end(), [&](char c) {
                  return isAlphanumeric(c) || c == '-' || c == '_' || (c == '.' && dotAllowed);
              });
}

std::string formatDuration(milliseconds duration)
{
    for (const DurationUnit &unit : DurationUnits) {
        if (duration.count() != 0 && duration.count() % unit.milliseconds == 0) {
            return std::to_string(duration.count() / unit.milliseconds) + unit.suffix;
        }
    }
    return std::to_string(duration.count()) + "ms";
}

} // namespace Tarragon
