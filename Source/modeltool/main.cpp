#include "document/TextFile.h"
#include "model/LeastLoadedPolicy.h"
#include "model/LoadPlot.h"
#include "model/ModelRun.h"

#include <cxxopts.hpp>

#include <exception>
#include <filesystem>
#include <fstream>
#include <iomanip>
#include <iostream>
#include <string>

namespace {

using namespace Tarragon;

/// Exit codes; see docs/help/tarragon-loadmodel.md.
enum ExitCode { ExitDone = 0, ExitUsage = 1, ExitBadLoad = 2, ExitFailed = 3 };

LoadResult simulate(const LoadPlan &plan, const cxxopts::ParseResult &arguments)
{
    const std::uint64_t seed = arguments["seed"].as<std::uint64_t>();
    const std::string policy = arguments["policy"].as<std::string>();
    if (policy == "least-loaded") {
        return ModelRun<LeastLoadedPolicy>(
                       plan, seed,
                       [](const EntryLocality &place, const HostedService &service) {
                           return std::make_unique<LeastLoadedPolicy>(place, service);
                       })
                .run(policy);
    }
    DispatchOptions options;
    options.affinityTargetsPerObject = arguments["homes"].as<std::size_t>();
    options.maxWaitToGoalRatio = arguments["wait-share"].as<double>();
    return ModelRun<ServiceDispatcher>(
                   plan, seed,
                   [&options](const EntryLocality &place, const HostedService &service) {
                       return std::make_unique<ServiceDispatcher>(place, service, options);
                   })
            .run(policy);
}

void printRow(const std::string &name, const LoadTally &tally)
{
    std::cout << std::left << std::setw(20) << name << std::right << std::setw(8) << tally.asked
              << std::setw(9) << std::fixed << std::setprecision(3) << tally.inGoalFraction()
              << std::setw(8) << tally.late << std::setw(9) << tally.refused << std::setw(8)
              << tally.failed << '\n';
}

void printSummary(const LoadResult &result)
{
    std::cout << std::left << std::setw(20) << "callers" << std::right << std::setw(8) << "asked"
              << std::setw(9) << "in goal" << std::setw(8) << "late" << std::setw(9) << "refused"
              << std::setw(8) << "failed" << '\n';
    printRow("all", result.total());
    for (const auto &[route, tally] : result.routes) {
        printRow(route.value(), tally);
    }
    for (const auto &[region, tally] : result.regions) {
        printRow(region.value(), tally);
    }
}

/// Writes the text to the file. Throws std::runtime_error if writing fails.
void writeFile(const std::filesystem::path &path, const std::string &text)
{
    std::ofstream out(path);
    out << text;
    out.close();
    if (!out) {
        throw std::runtime_error("cannot write the plot \"" + path.string()
                                 + "\", expected a writable file");
    }
}

cxxopts::Options makeOptions()
{
    cxxopts::Options options("tarragon-loadmodel",
                             "Simulates a load in virtual time with the code that places requests");
    cxxopts::OptionAdder add = options.add_options();
    add("load", "load file in YAML", cxxopts::value<std::string>());
    add("policy", "placement policy: dispatcher or least-loaded",
        cxxopts::value<std::string>()->default_value("dispatcher"));
    add("homes", "number of affinity targets for each object",
        cxxopts::value<std::size_t>()->default_value("2"));
    add("wait-share", "fraction of the latency goal that a request may wait for an affinity target",
        cxxopts::value<double>()->default_value("0.4"));
    add("seed", "seed of all random choices", cxxopts::value<std::uint64_t>()->default_value("1"));
    add("json", "print the result as JSON");
    add("plots", "write the plots times.svg and use.svg to this folder",
        cxxopts::value<std::string>());
    add("h,help", "print this help and exit");
    options.parse_positional({ "load" });
    options.positional_help("LOAD");
    return options;
}

int runFromArguments(int argc, char **argv)
{
    cxxopts::Options options = makeOptions();
    const cxxopts::ParseResult arguments = options.parse(argc, argv);
    if (arguments.count("help") != 0) {
        std::cout << options.help();
        return ExitDone;
    }
    if (arguments.count("load") == 0) {
        std::cerr << "tarragon-loadmodel: found no LOAD, expected a load file; see --help\n";
        return ExitUsage;
    }
    const std::string policy = arguments["policy"].as<std::string>();
    if (policy != "dispatcher" && policy != "least-loaded") {
        std::cerr << "tarragon-loadmodel: found the policy \"" << policy
                  << "\", expected \"dispatcher\" or \"least-loaded\"\n";
        return ExitUsage;
    }
    const std::string file = arguments["load"].as<std::string>();
    Findings findings;
    const std::optional<LoadPlan> plan = parseLoadPlan(readTextFile(file), file, findings);
    for (const Finding &it : findings) {
        std::cerr << toString(it) << '\n';
    }
    if (!plan.has_value()) {
        return ExitBadLoad;
    }
    const LoadResult result = simulate(*plan, arguments);
    if (arguments.count("json") != 0) {
        std::cout << toJson(result).dump(2) << '\n';
    } else {
        printSummary(result);
    }
    if (arguments.count("plots") != 0) {
        const std::filesystem::path folder = arguments["plots"].as<std::string>();
        std::filesystem::create_directories(folder);
        writeFile(folder / "times.svg", plotTimes(result));
        writeFile(folder / "use.svg", plotUtilization(result));
    }
    return ExitDone;
}

} // namespace

int main(int argc, char **argv)
{
    try {
        return runFromArguments(argc, argv);
    } catch (const cxxopts::exceptions::exception &error) {
        std::cerr << "tarragon-loadmodel: " << error.what() << '\n';
        return ExitUsage;
    } catch (const std::exception &error) {
        std::cerr << "tarragon-loadmodel: " << error.what() << '\n';
        return ExitFailed;
    }
}
