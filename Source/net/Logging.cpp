#include "net/Logging.h"

#include "base/Error.h"
#include "net/BufferedAppender.h"

#include <log4cplus/initializer.h>
#include <log4cplus/layout.h>
#include <log4cplus/logger.h>
#include <log4cplus/loglevel.h>

#include <algorithm>
#include <array>
#include <string_view>
#include <utility>

namespace Tarragon {

namespace {

/// Maximum size of the log buffered for a slow reader: several seconds of log of an entry under
/// load.
constexpr std::size_t MaxBufferedBytes = 1024 * 1024;

} // namespace

std::shared_ptr<LogBuffer> initializeLogging(const std::string &level)
{
    static constexpr std::array<std::string_view, 5> Levels = { "TRACE", "DEBUG", "INFO", "WARN",
                                                                "ERROR" };
    if (std::find(Levels.begin(), Levels.end(), level) == Levels.end()) {
        throw Error("log level is \"" + level
                    + "\", expected one of TRACE, DEBUG, INFO, WARN, ERROR");
    }
    static const log4cplus::Initializer initializer;
    std::shared_ptr<LogBuffer> buffer = std::make_shared<LogBuffer>(MaxBufferedBytes);
    log4cplus::SharedAppenderPtr appender(new BufferedAppender(buffer));
    appender->setLayout(std::unique_ptr<log4cplus::Layout>(
            new log4cplus::PatternLayout("time=%D{%Y-%m-%dT%H:%M:%S.%q}Z level=%p %m%n")));
    log4cplus::Logger root = log4cplus::Logger::getRoot();
    root.removeAllAppenders();
    root.addAppender(std::move(appender));
    root.setLogLevel(log4cplus::getLogLevelManager().fromString(level));
    return buffer;
}

} // namespace Tarragon
