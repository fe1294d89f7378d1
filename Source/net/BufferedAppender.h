#pragma once

#include "net/LogBuffer.h"

#include <log4cplus/appender.h>

#include <memory>

namespace Tarragon {

/// Appender of log4cplus that keeps formatted events in a buffer, so that logging never waits for
/// whoever reads the log.
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
