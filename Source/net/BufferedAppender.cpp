#include "net/BufferedAppender.h"

#include <log4cplus/spi/loggingevent.h>

#include <sstream>
#include <utility>

namespace Tarragon {

BufferedAppender::BufferedAppender(std::shared_ptr<LogBuffer> buffer)
    : m_buffer(std::move(buffer))
{}

BufferedAppender::~BufferedAppender()
{
    destructorImpl();
}

void BufferedAppender::append(const log4cplus::spi::InternalLoggingEvent &event)
{
    std::ostringstream text;
    layout->formatAndAppend(text, event);
    m_buffer->add(text.str());
}

} // namespace Tarragon
