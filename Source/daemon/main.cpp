#include "document/Finding.h"
#include "entry/Daemon.h"
#include "entry/Settings.h"
#include "net/EventLoop.h"
#include "net/Logging.h"

#include <cxxopts.hpp>

#include <csignal>
#include <exception>
#include <iostream>
#include <optional>
#include <string>

namespace {

using namespace Tarragon;

/// Exit codes; see docs/help/tarragonstage.md.
enum ExitCode { ExitDone = 0, ExitUsage = 1, ExitBadSettings = 2, ExitFailed = 3 };

int run(const Settings &settings)
{
    initializeLogging(settings.logLevel);
    // A caller that closes its connection must not end the process.
    static_cast<void>(std::signal(SIGPIPE, SIG_IGN));
    EventLoop loop;
    Daemon daemon(loop, settings);
    loop.onSignal(SIGTERM, [&daemon] { daemon.leave(); });
    loop.onSignal(SIGINT, [&daemon] { daemon.leave(); });
    daemon.run();
    return ExitDone;
}

int runFromArguments(int argc, char **argv)
{
    cxxopts::Options options("tarragonstage",
                             "Entry instance: answers lookups and carries requests to targets");
    cxxopts::OptionAdder add = options.add_options();
    add("s,settings", "settings file in YAML", cxxopts::value<std::string>());
    add("check-settings", "check the settings file and exit");
    add("version", "print the version and exit");
    add("h,help", "print this help and exit");
    const cxxopts::ParseResult arguments = options.parse(argc, argv);
    if (arguments.count("help") != 0) {
        std::cout << options.help();
        return ExitDone;
    }
    if (arguments.count("version") != 0) {
        std::cout << "tarragonstage " << TARRAGON_VERSION << '\n';
        return ExitDone;
    }
    if (arguments.count("settings") == 0) {
        std::cerr << "tarragonstage: found no --settings FILE, expected one; see --help\n";
        return ExitUsage;
    }
    Findings findings;
    const std::optional<Settings> settings =
            readSettings(arguments["settings"].as<std::string>(), findings);
    for (const Finding &it : findings) {
        std::cerr << toString(it) << '\n';
    }
    if (!settings.has_value()) {
        return ExitBadSettings;
    }
    if (arguments.count("check-settings") != 0) {
        std::cout << "settings are valid\n";
        return ExitDone;
    }
    return run(*settings);
}

} // namespace

int main(int argc, char **argv)
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
