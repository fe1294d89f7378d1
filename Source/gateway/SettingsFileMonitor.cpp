#include "gateway/SettingsFileMonitor.h"

#include "base/Error.h"
#include "document/TextFile.h"
#include "net/LogLine.h"

#include <log4cplus/logger.h>
#include <log4cplus/loggingmacros.h>

#include <utility>

namespace Tarragon {

namespace {

/// Period of checking the file. The platform allows at least 2.5 s for a change to take effect.
constexpr milliseconds CheckPeriod{ 1'000 };

const log4cplus::Logger &logger()
{
    static const log4cplus::Logger instance = log4cplus::Logger::getInstance("settings");
    return instance;
}

} // namespace

SettingsFileMonitor::SettingsFileMonitor(EventLoop &loop, std::string file, Handler handler)
    : m_file(std::move(file))
    , m_handler(std::move(handler))
    , m_text(readText())
    , m_timer(loop.scheduleEvery(CheckPeriod, [this] { check(); }))
{}

std::string SettingsFileMonitor::readText()
{
    try {
        std::string text = readTextFile(m_file);
        m_isReadable = true;
        return text;
    } catch (const Error &error) {
        if (m_isReadable) {
            LOG4CPLUS_ERROR(logger(),
                            LogLine("settings", "unreadable").add("reason", error.what()).text());
        }
        m_isReadable = false;
        return {};
    }
}

void SettingsFileMonitor::check()
{
    std::string text = readText();
    if (!m_isReadable || text == m_text) {
        return;
    }
    m_text = std::move(text);
    Findings findings;
    const std::optional<GatewaySettings> settings = parseGatewaySettings(m_text, m_file, findings);
    for (const Finding &it : findings) {
        LOG4CPLUS_ERROR(logger(),
                        LogLine("settings", "refused").add("finding", toString(it)).text());
    }
    if (settings.has_value()) {
        m_handler(*settings);
    }
}

} // namespace Tarragon
