#pragma once

#include <cstddef>
#include <string_view>

namespace Tarragon {

/// Checks the status lines of a response before evhttp parses them, because evhttp accepts signs,
/// leading zeros, numbers that overflow, and other versions. A status line consists of HTTP/1.0 or
/// HTTP/1.1, a space, three digits from 100 to 599, and a space or the end of the line. Statuses
/// below 200 are interim: another head follows.
class ResponseHeadScanner
{
public:
    /// Reads the next bytes of the connection. Bytes after the final head are ignored.
    void read(std::string_view data);
    /// Whether the bytes so far cannot begin a response.
    bool isMalformed() const { return m_state == State::Malformed; }
    /// Whether the final head is complete; its status is then status().
    bool isDone() const { return m_state == State::Done; }
    /// Returns the status of the last complete code; 0 if there was none.
    int status() const { return m_status; }
    /// Prepares for the response to the next request.
    void reset() { *this = ResponseHeadScanner(); }

private:
    enum class State {
        Version,
        Code,
        /// After the code: a space or the end of the line.
        CodeEnd,
        Phrase,
        /// After a carriage return that ends the status line directly after the code.
        LineFeed,
        LineStart,
        Field,
        /// After a carriage return at the start of a line.
        HeadEnd,
        Done,
        Malformed,
    };

    State next(char ch);
    State readVersion(char ch);
    State readCode(char ch);
    State endHead();

    State m_state = State::Version;
    /// Position in the version or in the code.
    std::size_t m_position = 0;
    int m_code = 0;
    int m_status = 0;
};

} // namespace Tarragon
