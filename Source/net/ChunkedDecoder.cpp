#include "net/ChunkedDecoder.h"

#include <event2/buffer.h>

#include <algorithm>

namespace Tarragon {

namespace {

/// Maximum number of hexadecimal digits of a chunk size; 15 of them cannot overflow 64 bits.
constexpr std::size_t MaxSizeDigits = 15;
/// Maximum number of bytes of one chunk's extensions, or of all trailer fields together.
constexpr std::size_t MaxOverheadBytes = 8'192;

int hexValue(char ch)
{
    if (ch >= '0' && ch <= '9') {
        return ch - '0';
    }
    if (ch >= 'a' && ch <= 'f') {
        return ch - 'a' + 10;
    }
    if (ch >= 'A' && ch <= 'F') {
        return ch - 'A' + 10;
    }
    return -1;
}

} // namespace

ChunkedDecoder::Result ChunkedDecoder::decode(evbuffer *buffer,
                                              const sigc::slot<bool(std::string_view)> &sink)
{
    while (m_state != State::Done && m_state != State::Malformed) {
        const std::size_t available = evbuffer_get_contiguous_space(buffer);
        if (available == 0) {
            return Result::NeedMore;
        }
        const char *data =
                reinterpret_cast<const char *>(evbuffer_pullup(buffer, ev_ssize_t(available)));
        if (m_state == State::Data) {
            const std::size_t n = std::min<std::uint64_t>(available, m_remaining);
            m_remaining -= n;
            if (m_remaining == 0) {
                m_state = State::DataEnd;
            }
            const bool proceed = sink(std::string_view(data, n));
            evbuffer_drain(buffer, n);
            if (!proceed) {
                return Result::Stopped;
            }
            continue;
        }
        std::size_t used = 0;
        while (used < available && m_state != State::Data && m_state != State::Done
               && m_state != State::Malformed) {
            if (!step(data[used])) {
                m_state = State::Malformed;
            }
            ++used;
        }
        evbuffer_drain(buffer, used);
    }
    return m_state == State::Done ? Result::Done : Result::Malformed;
}

bool ChunkedDecoder::step(char ch)
{
    switch (m_state) {
    case State::Size:
        if (const int digit = hexValue(ch); digit >= 0) {
            m_remaining = m_remaining * 16 + std::uint64_t(digit);
            return ++m_digits <= MaxSizeDigits;
        }
        if (m_digits == 0) {
            return false;
        }
        if (ch == '\r') {
            m_state = State::SizeEnd;
            return true;
        }
        m_state = State::Extension;
        return ch == ';' || ch == ' ' || ch == '\t';
    case State::Extension:
        if (ch == '\r') {
            m_state = State::SizeEnd;
            return true;
        }
        return ch != '\n' && ch != '\0' && ++m_overheadBytes <= MaxOverheadBytes;
    case State::SizeEnd:
        m_state = m_remaining > 0 ? State::Data : State::TrailerStart;
        m_digits = 0;
        m_overheadBytes = 0;
        return ch == '\n';
    case State::DataEnd:
        m_state = State::DataLineFeed;
        return ch == '\r';
    case State::DataLineFeed:
        m_state = State::Size;
        return ch == '\n';
    case State::TrailerStart:
        m_state = ch == '\r' ? State::TrailerEnd : State::TrailerLine;
        return ch != '\n' && ch != ':' && ch != ' ' && ++m_overheadBytes <= MaxOverheadBytes;
    case State::TrailerLine:
        if (ch == '\r') {
            m_state = State::TrailerLineEnd;
            return true;
        }
        return ch != '\n' && ch != '\0' && ++m_overheadBytes <= MaxOverheadBytes;
    case State::TrailerLineEnd:
        m_state = State::TrailerStart;
        return ch == '\n';
    case State::TrailerEnd:
        m_state = State::Done;
        return ch == '\n';
    case State::Data:
    case State::Done:
    case State::Malformed:
        break;
    }
    return false;
}

} // namespace Tarragon
