#include "StandIns/target/Journal.h"
#include "StandIns/target/TargetServer.h"

#include "base/Error.h"
#include "document/DocumentParser.h"
#include "document/TextFile.h"
#include "net/EventLoop.h"
#include "net/LogWriter.h"
#include "net/Logging.h"

#include <cxxopts.hpp>

#include <csignal>
#include <iostream>
#include <memory>
#include <vector>

#include <unistd.h>

namespace {

using namespace Tarragon;

Configuration readDocument(const std::string &path)
{
    Findings findings;
    const std::optional<Configuration> configuration =
            parseWholeDocument(readTextFile(path), path, findings);
    if (!configuration.has_value()) {
        for (const Finding &it : findings) {
            std::cerr << toString(it) << '\n';
        }
        throw Error("the document \"" + path + "\" is not valid");
    }
    return *configuration;
}

int run(int argc, char **argv)
{
    cxxopts::Options options("target-standin",
                             "Runs stand-ins for all targets of a document, for tests");
    cxxopts::OptionAdder add = options.add_options();
    add("document", "configuration document that lists the targets", cxxopts::value<std::string>());
    add("domain", "run only targets of this failure domain; empty: all",
        cxxopts::value<std::string>()->default_value(""));
    add("journal", "file to append a JSON line to for each start and end of a request",
        cxxopts::value<std::string>()->default_value(""));
    add("service-time-ms", "default service time of a request in milliseconds",
        cxxopts::value<int>()->default_value("5"));
    add("help", "print this help");
    const cxxopts::ParseResult arguments = options.parse(argc, argv);
    if (arguments.count("help") != 0) {
        std::cout << options.help();
        return 0;
    }
    const std::shared_ptr<LogBuffer> log = initializeLogging("INFO");
    const Configuration configuration = readDocument(arguments["document"].as<std::string>());
    const FailureDomainId domain(arguments["domain"].as<std::string>());
    EventLoop loop;
    const LogWriter writer(loop, log, STDERR_FILENO);
    Journal journal(arguments["journal"].as<std::string>());
    std::vector<std::unique_ptr<TargetServer>> servers;
    for (const auto &[id, service] : configuration.services) {
        for (const Target &it : service.targets) {
            if (!domain.isEmpty() && it.domain != domain) {
                continue;
            }
            TargetBehaviour behaviour;
            behaviour.slots = it.slots.value;
            behaviour.serviceTime = milliseconds(arguments["service-time-ms"].as<int>());
            servers.push_back(std::make_unique<TargetServer>(
                    loop, journal, it.id.value(), it.http.address, it.http.port, behaviour));
        }
    }
    std::cout << "ready targets=" << servers.size() << std::endl;
    loop.onSignal(SIGTERM, [&loop] { loop.stop(); });
    loop.onSignal(SIGINT, [&loop] { loop.stop(); });
    loop.run();
    return 0;
}

} // namespace

int main(int argc, char **argv)
{
    try {
        return run(argc, argv);
    } catch (const std::exception &error) {
        std::cerr << "target-standin: " << error.what() << '\n';
        return 1;
    }
}
