#include "net/ResponseHeadScanner.h"

namespace Tarragon {

namespace {

/// The minor version is the last character; it is checked separately.
constexpr std::string_view VersionStart = "HTTP/1.";
constexpr std::size_t CodeDigits = 3;
constexpr int MinStatus = 100;
constexpr int MinFinalStatus = 200;
constexpr int MaxStatus = 599;

} // namespace

void ResponseHeadScanner::read(std::string_view data)
{
    for (const char ch : data) {
        if (m_state == State::Done || m_state == State::Malformed) {
            return;
        }
        m_state = next(ch);
    }
}

ResponseHeadScanner::State ResponseHeadScanner::next(char ch)
{
    switch (m_state) {
    case State::Version:
        return readVersion(ch);
    case State::Code:
        return readCode(ch);
    case State::CodeEnd:
        if (ch == ' ') {
            return State::Phrase;
        }
        if (ch == '\r') {
            return State::LineFeed;
        }
        return ch == '\n' ? State::LineStart : State::Malformed;
    case State::LineFeed:
        return ch == '\n' ? State::LineStart : State::Malformed;
    case State::Phrase:
    case State::Field:
        return ch == '\n' ? State::LineStart : m_state;
    case State::LineStart:
        if (ch == '\r') {
            return State::HeadEnd;
        }
        return ch == '\n' ? endHead() : State::Field;
    case State::HeadEnd:
        return ch == '\n' ? endHead() : State::Field;
    case State::Done:
    case State::Malformed:
        break;
    }
    return m_state;
}

ResponseHeadScanner::State ResponseHeadScanner::readVersion(char ch)
{
    const std::size_t position = m_position++;
    if (position < VersionStart.size()) {
        return ch == VersionStart[position] ? State::Version : State::Malformed;
    }
    if (position == VersionStart.size()) {
        return ch == '0' || ch == '1' ? State::Version : State::Malformed;
    }
    m_position = 0;
    m_code = 0;
    return ch == ' ' ? State::Code : State::Malformed;
}

ResponseHeadScanner::State ResponseHeadScanner::readCode(char ch)
{
    if (ch < '0' || ch > '9') {
        return State::Malformed;
    }
    m_code = m_code * 10 + (ch - '0');
    if (++m_position < CodeDigits) {
        return State::Code;
    }
    m_position = 0;
    m_status = m_code;
    return m_code >= MinStatus && m_code <= MaxStatus ? State::CodeEnd : State::Malformed;
}

ResponseHeadScanner::State ResponseHeadScanner::endHead()
{
    return m_status < MinFinalStatus ? State::Version : State::Done;
}

} // namespace Tarragon
