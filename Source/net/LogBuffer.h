#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace Tarragon {

/// Log lines that have not been written yet. The buffer is bounded: when the reader of the log is
/// too slow, new lines are dropped and counted, and the next line that fits is preceded by a line
/// with the count.
class LogBuffer
{
public:
    explicit LogBuffer(std::size_t maxBytes)
        : m_maxBytes(maxBytes)
    {}

    /// Adds a line that ends with a line break. Returns false if the line was dropped.
    bool add(std::string_view line);
    /// Returns the buffered text, which is to be written next.
    std::string_view pending() const { return m_text; }
    /// Removes bytes from the start of the buffer after they have been written.
    void consume(std::size_t bytes) { m_text.erase(0, bytes); }
    /// Whether the buffer is more than half full; frequent lines should then be omitted.
    bool isCrowded() const { return m_text.size() > m_maxBytes / 2; }
    /// Returns the number of lines dropped since the start.
    std::uint64_t dropped() const { return m_dropped; }

private:
    std::size_t m_maxBytes;
    std::string m_text;
    std::uint64_t m_dropped = 0;
    /// Number of dropped lines that have not been reported in the log yet.
    std::uint64_t m_unreportedDrops = 0;
};

} // namespace Tarragon
