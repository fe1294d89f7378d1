#include "net/Logging.h"

#include "base/Error.h"

#include <log4cplus/configurator.h>
#include <log4cplus/helpers/property.h>
#include <log4cplus/initializer.h>

#include <algorithm>
#include <array>
#include <string_view>

namespace Tarragon {

void initializeLogging(const std::string &level)
{
    static constexpr std::array<std::string_view, 5> Levels = { "TRACE", "DEBUG", "INFO", "WARN",
                                                                "ERROR" };
    if (std::find(Levels.begin(), Levels.end(), level) == Levels.end()) {
        throw Error("log level is \"" + level
                    + "\", expected one of TRACE, DEBUG, INFO, WARN, ERROR");
    }
    static const log4cplus::Initializer initializer;
    log4cplus::helpers::Properties properties;
    // All events are written on the thread of the event loop.
    properties.setProperty("log4cplus.threadPoolSize", "0");
    properties.setProperty("log4cplus.rootLogger", level + ", stderr");
    properties.setProperty("log4cplus.appender.stderr", "log4cplus::ConsoleAppender");
    properties.setProperty("log4cplus.appender.stderr.logToStdErr", "true");
    properties.setProperty("log4cplus.appender.stderr.ImmediateFlush", "true");
    properties.setProperty("log4cplus.appender.stderr.layout", "log4cplus::PatternLayout");
    properties.setProperty("log4cplus.appender.stderr.layout.ConversionPattern",
                           "%D{%Y-%m-%dT%H:%M:%S.%q}Z %-5p %c: %m%n");
    log4cplus::PropertyConfigurator configurator(properties);
    configurator.configure();
}

} // namespace Tarragon
