#pragma once

#include "net/EventLoop.h"
#include "net/LogBuffer.h"

#include <memory>

namespace Tarragon {

/// Writes the buffered log to a descriptor from the loop, as far as the descriptor takes it without
/// waiting.
class LogWriter
{
public:
    LogWriter(EventLoop &loop, std::shared_ptr<LogBuffer> buffer, int descriptor);
    /// Writes what the descriptor still takes.
    ~LogWriter();
    LogWriter(const LogWriter &) = delete;
    LogWriter &operator=(const LogWriter &) = delete;

    void flush();

private:
    std::shared_ptr<LogBuffer> m_buffer;
    int m_descriptor;
    Timer m_timer;
};

} // namespace Tarragon
