#pragma once

#include "gateway/GatewaySettings.h"
#include "net/EventLoop.h"

#include <sigc++/sigc++.h>

#include <string>

namespace Tarragon {

/// Monitors the settings file of a gateway and reads it again when its content changes, with or
/// without a signal. A file that is invalid or unreadable is logged once and leaves the settings in
/// force unchanged.
class SettingsFileMonitor
{
public:
    /// Receives valid settings whose text differs from the last known one.
    using Handler = sigc::slot<void(const GatewaySettings &)>;

    /// Reads the current text of the file and considers it applied.
    SettingsFileMonitor(EventLoop &loop, std::string file, Handler handler);
    SettingsFileMonitor(const SettingsFileMonitor &) = delete;
    SettingsFileMonitor &operator=(const SettingsFileMonitor &) = delete;

    /// Checks the file immediately.
    void check();

private:
    std::string readText();

    std::string m_file;
    Handler m_handler;
    /// Text of the file as last seen; empty if it could not be read.
    std::string m_text;
    bool m_isReadable = true;
    Timer m_timer;
};

} // namespace Tarragon
