#include "gateway/SettingsFileMonitor.h"

#include "Support/LoopTest.h"

#include <filesystem>
#include <fstream>

#include <unistd.h>

namespace Tarragon {
namespace {

/// Returns the settings of a gateway with the given number of extra retries.
std::string settingsText(const std::string &extraRetries)
{
    return "instance: e1\nfailureDomain: d1\nregion: r1\nfront: \"127.0.0.1:1\"\n"
           "readiness: \"127.0.0.1:2\"\nlookup: \"127.0.0.1:3\"\nrpc: \"127.0.0.1:4\"\n"
           "metrics: \"127.0.0.1:5\"\nstore: \"127.0.0.1:6\"\nfailureDomains:\n  d1: r1\n"
           "bounds:\n  extraRetries: "
           + extraRetries + "\n";
}

class SettingsFileMonitorTest : public LoopTest
{
protected:
    SettingsFileMonitorTest() { write(settingsText("10")); }
    ~SettingsFileMonitorTest() override { std::filesystem::remove(m_file); }

    void write(const std::string &text) const { std::ofstream(m_file) << text; }
    void startMonitor()
    {
        m_monitor = std::make_unique<SettingsFileMonitor>(
                m_loop, m_file, [this](const GatewaySettings &settings) {
                    m_applied.push_back(settings.bounds.extraRetries);
                });
    }

    std::string m_file = std::filesystem::temp_directory_path()
                         / ("settings-follower-" + std::to_string(getpid()) + ".yaml");
    std::vector<double> m_applied;
    std::unique_ptr<SettingsFileMonitor> m_monitor;
};

// Guards against a changed file that is applied only after a signal.
TEST_F(SettingsFileMonitorTest, AppliesAChangeWithoutASignal)
{
    startMonitor();
    write(settingsText("20"));
    runUntil([this] { return !m_applied.empty(); });
    EXPECT_EQ(m_applied, std::vector<double>{ 20 });
}

// Guards against settings that are applied repeatedly, in part, or not at all after an invalid
// file.
TEST_F(SettingsFileMonitorTest, AppliesOnlyValidChanges)
{
    startMonitor();
    m_monitor->check();
    write(settingsText("many"));
    m_monitor->check();
    std::filesystem::remove(m_file);
    m_monitor->check();
    EXPECT_TRUE(m_applied.empty());
    write(settingsText("30"));
    m_monitor->check();
    m_monitor->check();
    EXPECT_EQ(m_applied, std::vector<double>{ 30 });
}

} // namespace
} // namespace Tarragon
