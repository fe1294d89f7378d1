#include "net/Guard.h"

#include <log4cplus/logger.h>
#include <log4cplus/loggingmacros.h>

#include <string>

namespace Tarragon {

void logCallbackError(std::string_view where, const std::exception &error)
{
    static const log4cplus::Logger logger = log4cplus::Logger::getInstance("net");
    LOG4CPLUS_ERROR(logger, "Callback failed. where=" << where << " error=" << error.what());
}

} // namespace Tarragon
