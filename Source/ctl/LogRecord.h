#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace Tarragon {

/// One line of a daemon's structured log.
struct LogRecord
{
    /// Wall clock time of the process that wrote the line, in ISO 8601.
    std::string time;
    std::string level;
    /// Name of the logger, such as "gateway".
    std::string part;
    std::string event;
    /// Process that wrote the line: the word before the record if several processes share a file,
    /// otherwise the name of the file.
    std::string source;
    std::vector<std::pair<std::string, std::string>> fields;

    /// Returns the value of a field; empty if there is no such field.
    std::string field(std::string_view key) const;
};

/// Parses a line. Returns std::nullopt if the line is not a record of the structured log.
std::optional<LogRecord> parseLogRecord(const std::string &line, const std::string &source);

} // namespace Tarragon
