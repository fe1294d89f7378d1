#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace Tarragon {

/// Lines of the log that have not been written out. Bounded: when the reader does not keep up, new
/// lines are dropped and counted, and the count is told in the next line that has room.
class LogBuffer
{
public:
    explicit LogBuffer(std::size_t maxBytes)
        : m_maxBytes(maxBytes)
    {}

    /// Adds a line with its line break. Returns whether it was taken.
    bool add(std::string_view line);
    /// What is to be written next.
    std::string_view pending() const { return m_text; }
    /// The first bytes have been written.
    void consume(std::size_t bytes) { m_text.erase(0, bytes); }
    /// Whether more than half of the room is taken; frequent lines should then be left out.
    bool isCrowded() const { return m_text.size() > m_maxBytes / 2; }
    /// Lines that were dropped since the start.
    std::uint64_t dropped() const { return m_dropped; }

private:
    std::size_t m_maxBytes;
    std::string m_text;
    std::uint64_t m_dropped = 0;
    /// Dropped lines that no line has told yet.
    std::uint64_t m_untold = 0;
};

} // namespace Tarragon
