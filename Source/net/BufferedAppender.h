#pragma once

#include "net/LogBuffer.h"

#include <log4cplus/appender.h>

#include <memory>

namespace Tarragon {

/// Appender of log4cplus that adds formatted events to a LogBuffer, so that logging never blocks on
/// a slow reader of the log.
class BufferedAppender : public log4cplus::Appender
{
public:
    explicit BufferedAppender(std::shared_ptr<LogBuffer> buffer);
    ~BufferedAppender() override;
    BufferedAppender(const BufferedAppender &) = delete;
    BufferedAppender &operator=(const BufferedAppender &) = delete;

    void close() override {}

protected:
    void append(const log4cplus::spi::InternalLoggingEvent &event) override;

private:
    std::shared_ptr<LogBuffer> m_buffer;
};

} // namespace Tarragon
