#pragma once

#include <cstddef>
#include <cstdint>
#include <string_view>

#include <sigc++/sigc++.h>

struct evbuffer;

namespace Tarragon {

/// Decodes the chunked transfer coding. It replaces evhttp's decoder, which buffers each chunk
/// until the chunk is complete, accepts malformed chunk ends and rejects chunk extensions. Chunk
/// extensions and trailer fields are discarded; only their length is checked.
class ChunkedDecoder
{
public:
    enum class Result {
        NeedMore,
        /// The sink asked to stop; the bytes that were not decoded are still in the buffer.
        Stopped,
        /// The last chunk and the trailer were read; the bytes after them are still in the buffer.
        Done,
        Malformed,
    };

    /// Removes bytes from the buffer, decodes them and passes the body's bytes to the sink. The
    /// sink returns whether decoding should continue.
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
