#include "StandIns/platform/StandInStore.h"
#include "net/EventLoop.h"

#include <cxxopts.hpp>

#include <csignal>
#include <cstdio>
#include <exception>
#include <fstream>
#include <iostream>

namespace Tarragon {
namespace {

/// Writes the port to a temporary file and renames that, so that a reader never finds an empty
/// file.
void writePort(const std::string &file, std::uint16_t port)
{
    if (file.empty()) {
        return;
    }
    const std::string partial = file + ".partial";
    std::ofstream(partial) << port << "\n";
    std::rename(partial.c_str(), file.c_str());
}

int runStandIn(int argc, char **argv)
{
    cxxopts::Options options("platform-standin",
                             "Stand-in for the platform's object API, for tests");
    options.add_options()("address", "Address to listen on",
                          cxxopts::value<std::string>()->default_value("127.0.0.1"))(
            "port", "Port of the object API, 0 for a free port",
            cxxopts::value<std::uint16_t>()->default_value("0"))(
            "port-file", "File to write the port to",
            cxxopts::value<std::string>()->default_value(""))(
            "control-port", "Port that serves only the control endpoints, 0 for a free port",
            cxxopts::value<std::uint16_t>()->default_value("0"))(
            "control-port-file", "File to write the control port to",
            cxxopts::value<std::string>()->default_value(""))("help", "Show this help");
    const cxxopts::ParseResult parsed = options.parse(argc, argv);
    if (parsed.count("help") > 0) {
        std::cout << options.help();
        return 0;
    }
    EventLoop loop;
    StandInStore store(loop, parsed["address"].as<std::string>(),
                       parsed["port"].as<std::uint16_t>(),
                       parsed["control-port"].as<std::uint16_t>());
    writePort(parsed["port-file"].as<std::string>(), store.port());
    writePort(parsed["control-port-file"].as<std::string>(), store.controlPort());
    loop.onSignal(SIGTERM, [&loop] { loop.stop(); });
    loop.onSignal(SIGINT, [&loop] { loop.stop(); });
    loop.run();
    return 0;
}

} // namespace
} // namespace Tarragon

int main(int argc, char **argv)
{
    try {
        return Tarragon::runStandIn(argc, argv);
    } catch (const std::exception &error) {
        std::cerr << "platform-standin: " << error.what() << "\n";
        return 1;
    }
}
