#include "document/Finding.h"
#include "entry/Daemon.h"
#include "entry/Settings.h"
#include "gateway/GatewayDaemon.h"
#include "gateway/GatewaySettings.h"
#include "gateway/SettingsFileMonitor.h"
#include "net/EventLoop.h"
#include "net/LogWriter.h"
#include "net/Logging.h"
#include "net/MemoryBudget.h"
#include "platform/SettingsLocation.h"

#include <cxxopts.hpp>

#include <csignal>
#include <cstdlib>
#include <exception>
#include <iostream>
#include <memory>
#include <optional>
#include <string>

#include <unistd.h>

namespace {

using namespace Tarragon;

/// Exit codes; see docs/help/tarragonstage.md.
enum ExitCode { ExitDone = 0, ExitUsage = 1, ExitBadSettings = 2, ExitFailed = 3 };

int runEntry(const Settings &settings, const std::string &)
{
    const std::shared_ptr<LogBuffer> log = initializeLogging(settings.logLevel);
    // Writing to a connection that the caller has closed must not terminate the process.
    static_cast<void>(std::signal(SIGPIPE, SIG_IGN));
    MemoryBudget::ofProcess().configure(settings.memoryMegabytes, settings.maxDescriptors);
    EventLoop loop;
    const LogWriter writer(loop, log, STDOUT_FILENO);
    Daemon daemon(loop, settings);
    loop.onSignal(SIGTERM, [&daemon] { daemon.leave(); });
    loop.onSignal(SIGINT, [&daemon] { daemon.leave(); });
    daemon.run();
    return ExitDone;
}

int runGateway(const GatewaySettings &settings, const std::string &file)
{
    const std::shared_ptr<LogBuffer> log = initializeLogging(settings.logLevel);
    MemoryBudget::ofProcess().configure(settings.memoryMegabytes, settings.maxDescriptors);
    EventLoop loop;
    const LogWriter writer(loop, log, STDOUT_FILENO);
    GatewayDaemon daemon(loop, settings, *log);
    loop.onSignal(SIGTERM, [&daemon] { daemon.beginShutdown(); });
    loop.onSignal(SIGINT, [&daemon] { daemon.beginShutdown(); });
    SettingsFileMonitor follower(loop, file, sigc::mem_fun(daemon, &GatewayDaemon::applySettings));
    loop.onSignal(SIGHUP, [&follower] { follower.check(); });
    daemon.run();
    return ExitDone;
}

/// Reads the settings of a role and runs the role. With checkOnly, only validates the settings.
template<typename RoleSettings>
int start(const std::string &file, bool checkOnly,
          std::optional<RoleSettings> (*read)(const std::string &, Findings &),
          int (*run)(const RoleSettings &, const std::string &))
{
    Findings findings;
    const std::optional<RoleSettings> settings = read(file, findings);
    for (const Finding &it : findings) {
        std::cerr << toString(it) << '\n';
    }
    if (!settings.has_value()) {
        return ExitBadSettings;
    }
    if (checkOnly) {
        std::cout << "settings are valid\n";
        return ExitDone;
    }
    return run(*settings, file);
}

int runFromArguments(int argc, char **argv)
{
    cxxopts::Options options("tarragonstage",
                             "Entry instance: answers lookups and carries requests to targets");
    cxxopts::OptionAdder add = options.add_options();
    add("role",
        "entry: serves the services of the document; gateway: serves the hosted routes of the "
        "platform",
        cxxopts::value<std::string>()->default_value("entry"));
    add("s,settings",
        "settings file in YAML; default for the gateway: the settings file of the platform",
        cxxopts::value<std::string>());
    add("check-settings", "validate the settings file and exit");
    add("version", "print the version and exit");
    add("h,help", "print this help and exit");
    options.parse_positional({ "role" });
    options.positional_help("[entry|gateway]");
    const cxxopts::ParseResult arguments = options.parse(argc, argv);
    if (arguments.count("help") != 0) {
        std::cout << options.help();
        return ExitDone;
    }
    if (arguments.count("version") != 0) {
        std::cout << "tarragonstage " << TARRAGON_VERSION << '\n';
        return ExitDone;
    }
    const std::string role = arguments["role"].as<std::string>();
    const bool isGateway = role == "gateway";
    if (!isGateway && role != "entry") {
        std::cerr << "tarragonstage: found the role \"" << role
                  << "\", expected \"entry\" or \"gateway\"\n";
        return ExitUsage;
    }
    std::string file;
    if (arguments.count("settings") != 0) {
        file = arguments["settings"].as<std::string>();
    } else if (isGateway) {
        file = Platform::settingsPathFromEnvironment();
    }
    if (file.empty()) {
        std::cerr << "tarragonstage: found no --settings FILE, expected a settings file; see "
                     "--help\n";
        return ExitUsage;
    }
    const bool checkOnly = arguments.count("check-settings") != 0;
    return isGateway ? start(file, checkOnly, readGatewaySettings, runGateway)
                     : start(file, checkOnly, readSettings, runEntry);
}

int runGuarded(int argc, char **argv)
{
    try {
        return runFromArguments(argc, argv);
    } catch (const cxxopts::exceptions::exception &error) {
        std::cerr << "tarragonstage: " << error.what() << '\n';
        return ExitUsage;
    } catch (const std::exception &error) {
        std::cerr << "tarragonstage: " << error.what() << '\n';
        return ExitFailed;
    }
}

} // namespace

int main(int argc, char **argv)
{
    const int code = runGuarded(argc, argv);
    std::cout.flush();
    // std::quick_exit() skips the destructors of static objects. The one of log4cplus waits for the
    // threads of its pool, which is not used here; on a busy machine these threads may not be
    // scheduled before a stopping process is killed.
    std::quick_exit(code);
}
