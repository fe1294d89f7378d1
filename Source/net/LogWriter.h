#pragma once

#include "net/EventLoop.h"
#include "net/LogBuffer.h"

#include <memory>

namespace Tarragon {

/// Periodically writes the buffered log to a file descriptor from the event loop. Never blocks:
/// text that cannot be written at once stays in the buffer.
class LogWriter
{
public:
    LogWriter(EventLoop &loop, std::shared_ptr<LogBuffer> buffer, int descriptor);
    /// Writes as much of the buffered log as is possible without blocking.
    ~LogWriter();
    LogWriter(const LogWriter &) = delete;
    LogWriter &operator=(const LogWriter &) = delete;

    /// Writes as much of the buffered log as is possible without blocking.
    void flush();

private:
    std::shared_ptr<LogBuffer> m_buffer;
    int m_descriptor;
    Timer m_timer;
};

} // namespace Tarragon
