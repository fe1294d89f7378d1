#include "ctl/LogRecord.h"

namespace Tarragon {

namespace {

/// Removes a value from the front of the text and returns it. The value is a word, or a quoted text
/// whose escape sequences are returned unchanged.
std::string consumeValue(std::string_view &text)
{
    if (!text.starts_with('"')) {
        const std::size_t end = std::min(text.find(' '), text.size());
        std::string value(text.substr(0, end));
        text.remove_prefix(end);
        return value;
    }
    std::string value;
    std::size_t i = 1;
    while (i < text.size() && text[i] != '"') {
        if (text[i] == '\\' && i + 1 < text.size()) {
            value += text[i++];
        }
        value += text[i++];
    }
    text.remove_prefix(std::min(i + 1, text.size()));
    return value;
}

/// Removes "key=value" from the front of the text and returns it. Returns std::nullopt if the next
/// word has another form.
std::optional<std::pair<std::string, std::string>> consumeField(std::string_view &text)
{
    text.remove_prefix(std::min(text.find_first_not_of(' '), text.size()));
    const std::size_t equals = text.find('=');
    if (equals == std::string_view::npos || text.substr(0, equals).find(' ') != std::string::npos) {
        return std::nullopt;
    }
    std::string key(text.substr(0, equals));
    text.remove_prefix(equals + 1);
    return std::pair(std::move(key), consumeValue(text));
}

std::string lastWord(std::string_view text)
{
    const std::size_t end = text.find_last_not_of(' ');
    if (end == std::string_view::npos) {
        return {};
    }
    const std::size_t start = text.find_last_of(' ', end);
    return std::string(text.substr(start + 1, end - start));
}

} // namespace

std::string LogRecord::field(std::string_view key) const
{
    for (const auto &[name, value] : fields) {
        if (name == key) {
            return value;
        }
    }
    return {};
}

std::optional<LogRecord> parseLogRecord(const std::string &line, const std::string &source)
{
    const std::size_t start = line.find("time=");
    if (start == std::string::npos) {
        return std::nullopt;
    }
    LogRecord record;
    const std::string prefix = lastWord(std::string_view(line).substr(0, start));
    record.source = prefix.empty() ? source : prefix;
    std::string_view rest = std::string_view(line).substr(start);
    const auto time = consumeField(rest);
    const auto level = consumeField(rest);
    if (!time.has_value() || !level.has_value() || level->first != "level") {
        return std::nullopt;
    }
    record.time = time->second;
    record.level = level->second;
    rest.remove_prefix(std::min(rest.find_first_not_of(' '), rest.size()));
    const std::size_t colon = rest.find(": ");
    if (colon == std::string_view::npos) {
        return std::nullopt;
    }
    record.part = rest.substr(0, colon);
    rest.remove_prefix(colon + 2);
    while (std::optional<std::pair<std::string, std::string>> field = consumeField(rest)) {
        if (field->first == "event" && record.event.empty()) {
            record.event = field->second;
        } else {
            record.fields.push_back(std::move(*field));
        }
    }
    if (record.event.empty()) {
        return std::nullopt;
    }
    return record;
}

} // namespace Tarragon
