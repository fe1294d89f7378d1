#include "net/LogWriter.h"

#include <algorithm>
#include <climits>
#include <string_view>
#include <utility>

#include <poll.h>
#include <unistd.h>

namespace Tarragon {

namespace {

/// Interval between writes; the lines of an interval share system calls.
constexpr milliseconds WritePeriod{ 100 };

bool isWritable(int descriptor)
{
    pollfd state{ descriptor, POLLOUT, 0 };
    return poll(&state, 1, 0) == 1 && (state.revents & POLLOUT) != 0;
}

} // namespace

LogWriter::LogWriter(EventLoop &loop, std::shared_ptr<LogBuffer> buffer, int descriptor)
    : m_buffer(std::move(buffer))
    , m_descriptor(descriptor)
    , m_timer(loop.scheduleEvery(WritePeriod, [this] { flush(); }))
{}

LogWriter::~LogWriter()
{
    flush();
}

void LogWriter::flush()
{
    // The descriptor is not made non-blocking, because it may be shared with other processes.
    // Instead, at most PIPE_BUF bytes are written at a time, which a writable pipe accepts without
    // blocking.
    std::string_view rest = m_buffer->pending();
    while (!rest.empty() && isWritable(m_descriptor)) {
        const std::size_t n = std::min<std::size_t>(rest.size(), PIPE_BUF);
        const ssize_t written = write(m_descriptor, rest.data(), n);
        if (written <= 0) {
            break;
        }
        rest.remove_prefix(static_cast<std::size_t>(written));
    }
    m_buffer->consume(m_buffer->pending().size() - rest.size());
}

} // namespace Tarragon
