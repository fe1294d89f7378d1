#include "net/LogLine.h"

#include <algorithm>
#include <array>
#include <cstdio>

namespace Tarragon {

namespace {

/// Maximum length of a value in bytes. Longer values are truncated, since some come from callers.
constexpr std::size_t MaxValueLength = 200;

bool isPlain(char ch)
{
    return ch > ' ' && ch < '\x7f' && ch != '"' && ch != '\\' && ch != '=';
}

std::string escaped(std::string_view value)
{
    std::string result = "\"";
    for (const char ch : value) {
        if (ch == '"' || ch == '\\') {
            result += '\\';
            result += ch;
        } else if (ch >= ' ' && ch < '\x7f') {
            result += ch;
        } else {
            std::array<char, 8> text{};
            std::snprintf(text.data(), text.size(), "\\x%02x",
                          static_cast<unsigned int>(static_cast<unsigned char>(ch)));
            result += text.data();
        }
    }
    return result + "\"";
}

} // namespace

LogLine::LogLine(std::string_view component, std::string_view event)
{
    m_text.reserve(256);
    m_text.append(component).append(": event=").append(event);
}

LogLine &LogLine::add(std::string_view key, std::string_view value)
{
    const std::string_view shown = value.substr(0, MaxValueLength);
    if (!shown.empty() && std::all_of(shown.begin(), shown.end(), isPlain)) {
        return addPlain(key, shown);
    }
    return addPlain(key, escaped(shown));
}

LogLine &LogLine::add(std::string_view key, bool value)
{
    return addPlain(key, value ? "true" : "false");
}

LogLine &LogLine::add(std::string_view key, microseconds duration)
{
    std::array<char, 32> text{};
    std::snprintf(text.data(), text.size(), "%.1f", static_cast<double>(duration.count()) / 1'000);
    return addPlain(key, text.data());
}

LogLine &LogLine::add(std::string_view key, RequestRate rate)
{
    std::array<char, 32> text{};
    std::snprintf(text.data(), text.size(), "%.3f", rate.perSecond);
    return addPlain(key, text.data());
}

LogLine &LogLine::addPlain(std::string_view key, std::string_view value)
{
    m_text.append(" ").append(key).append("=").append(value);
    return *this;
}

} // namespace Tarragon
