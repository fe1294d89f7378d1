#pragma once

#include <cstddef>
#include <cstdint>
#include <string_view>

#include <sigc++/sigc++.h>

struct evbuffer;

namespace Tarragon {

/// Decoder of the chunked transfer coding. evhttp's own decoder holds a chunk until it is complete,
/// accepts malformed chunk ends and rejects chunk extensions. Extensions and trailer fields are
/// checked for length and dropped.
class ChunkedDecoder
{
public:
    enum class Result {
        NeedMore,
        /// The sink asked to stop; the rest is still in the buffer.
        Stopped,
        /// The last chunk and the trailer were read; what follows is still in the buffer.
        Done,
        Malformed,
    };

    /// Takes bytes from the buffer and passes the body's bytes to the sink, which answers whether
    /// to go on.
    Result decode(evbuffer *buffer, const sigc::slot<bool(std::string_view)> &sink);

private:
    enum class State {
        Size,
        Extension,
        SizeEnd,
        Data,
        DataEnd,
        DataLineFeed,
        TrailerStart,
        TrailerLine,
        TrailerLineEnd,
        TrailerEnd,
        Done,
        Malformed,
    };

    bool step(char ch);

    State m_state = State::Size;
    std::uint64_t m_remaining = 0;
    std::size_t m_digits = 0;
    std::size_t m_overheadBytes = 0;
};

} // namespace Tarragon
