#pragma once

#include "base/Ids.h"
#include "base/Units.h"
#include "document/Topology.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace Tarragon {

/// Maximum length of an identifier. Limits the size of the head, which contains every section's
/// name many times.
inline constexpr std::size_t MaxIdLength = 64;

// Each format parses the text of one YAML scalar. operator() returns nothing if the text does not
// match the format; expected() describes the format for the "expected" part of a finding.

/// A whole number within a range.
struct IntegerFormat
{
    int min = 0;
    int max = 0;
    std::optional<int> operator()(const std::string &text) const;
    std::string expected() const;
};

/// A decimal number without exponent, within a range.
struct NumberFormat
{
    double min = 0;
    double max = 0;
    std::optional<double> operator()(const std::string &text) const;
    std::string expected() const;
};

/// A number of slots.
struct SlotCountFormat
{
    static constexpr int MaxSlots = 10'000;
    std::optional<SlotCount> operator()(const std::string &text) const;
    std::string expected() const;
};

/// A duration such as "250ms", "10s", "5min" or "1h", within a range.
struct DurationFormat
{
    milliseconds min{ 0 };
    milliseconds max{ 0 };
    std::optional<milliseconds> operator()(const std::string &text) const;
    std::string expected() const;
};

/// A duration of whole seconds, within a range.
struct SecondsFormat
{
    seconds min{ 0 };
    seconds max{ 0 };
    std::optional<seconds> operator()(const std::string &text) const;
    std::string expected() const;
};

/// A percentage such as "12.5%" with at most four decimals, so that a Share represents it exactly
/// as a whole number of parts per million.
struct ShareFormat
{
    Share min;
    Share max = Share::whole();
    std::optional<Share> operator()(const std::string &text) const;
    std::string expected() const;
};

/// A data rate such as "4000Mbit/s", above 0.
struct RateFormat
{
    static constexpr double MaxMbps = 10'000'000;
    std::optional<Mbps> operator()(const std::string &text) const;
    std::string expected() const;
};

/// "true" or "false".
struct BoolFormat
{
    std::optional<bool> operator()(const std::string &text) const;
    std::string expected() const;
};

/// Text of limited length without control characters.
struct TextFormat
{
    std::size_t minLength = 0;
    std::size_t maxLength = 0;
    std::optional<std::string> operator()(const std::string &text) const;
    std::string expected() const;
};

/// An IPv4 address and port such as "127.0.1.1:8080".
struct EndpointFormat
{
    std::optional<Endpoint> operator()(const std::string &text) const;
    std::string expected() const;
};

/// An IPv4 address in dotted form.
struct AddressFormat
{
    std::optional<std::string> operator()(const std::string &text) const;
    std::string expected() const;
};

/// A block of IPv4 addresses such as "10.1.0.0/16", without bits set after the prefix. The region
/// of the result is empty.
struct ClientBlockFormat
{
    std::optional<ClientBlock> operator()(const std::string &text) const;
    std::string expected() const;
};

/// A time of day from "00:00" to "24:00".
struct TimeOfDayFormat
{
    std::optional<std::chrono::minutes> operator()(const std::string &text) const;
    std::string expected() const;
};

/// A SHA-256 digest of 64 lower-case hexadecimal digits.
struct Sha256Format
{
    std::optional<std::string> operator()(const std::string &text) const;
    std::string expected() const;
};

/// A path that starts with "/".
struct PathFormat
{
    std::optional<std::string> operator()(const std::string &text) const;
    std::string expected() const;
};

/// Whether the text is an identifier: letters, digits, "-", "_" and, if allowed, ".", starting with
/// a letter or digit, at most MaxIdLength characters.
bool isIdentifier(const std::string &text, bool dotAllowed);

/// An identifier of the given type.
template<typename Id>
struct IdFormat
{
    bool dotAllowed = true;
    std::optional<Id> operator()(const std::string &text) const
    {
        return isIdentifier(text, dotAllowed) ? std::optional<Id>(Id(text)) : std::nullopt;
    }
    std::string expected() const
    {
        return std::string("an identifier of up to 64 letters, digits, '-', '_'")
               + (dotAllowed ? " and '.'" : "");
    }
};

/// One of several words, each with its value.
template<typename T>
struct ChoiceFormat
{
    std::vector<std::pair<std::string, T>> choices;
    std::optional<T> operator()(const std::string &text) const
    {
        for (const auto &[word, value] : choices) {
            if (word == text) {
                return value;
            }
        }
        return std::nullopt;
    }
    std::string expected() const
    {
        std::string text = "one of";
        for (const auto &[word, value] : choices) {
            text += (text == "one of" ? " " : ", ") + word;
        }
        return text;
    }
};

/// Formats the duration, in the form of DurationFormat, in the largest unit that divides it.
std::string formatDuration(milliseconds duration);

} // namespace Tarragon
