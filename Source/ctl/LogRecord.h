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
    /// Time of day of the process that wrote it, in ISO 8601.
    std::string time;
    std::string level;
    /// Part of the program, such as "gateway".
    std::string part;
    std::string event;
    /// Name of the file, or what stood before the line where several processes share one.
    std::string source;
    std::vector<std::pair<std::string, std::string>> fields;

    /// Value of a field; empty if there is none.
    std::string field(std::string_view key) const;
};

/// Parses a line; nothing for one that is not of the structured log.
std::optional<LogRecord> parseLogRecord(const std::string &line, const std::string &source);

} // namespace Tarragon
