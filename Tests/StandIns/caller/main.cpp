#include "StandIns/caller/CallerOptions.h"
#include "StandIns/caller/JournalAudit.h"
#include "StandIns/caller/LoadRun.h"

#include "net/EventLoop.h"
#include "net/HttpClient.h"
#include "net/LogWriter.h"
#include "net/Logging.h"

#include <cxxopts.hpp>

#include <iostream>
#include <string>
#include <vector>

#include <unistd.h>

namespace {

using namespace Tarragon;

constexpr int ExitLost = 3;

int audit(const cxxopts::ParseResult &arguments)
{
    const AuditResult result =
            auditJournals(arguments["audit-callers"].as<std::vector<std::string>>(),
                          arguments["audit-targets"].as<std::vector<std::string>>());
    std::cout << "uncertain=" << result.uncertain << " false-not-run=" << result.falseNotRun
              << " unanswered=" << result.lost << '\n'
              << arguments["audit-prefix"].as<std::string>() << toString(result) << std::endl;
    const bool allowsUncertain = arguments.count("audit-allow-uncertain") != 0;
    const bool holds = result.lost + result.falseNotRun + result.runTwice == 0
                       && (allowsUncertain || result.uncertain == 0);
    return holds ? 0 : ExitLost;
}

CallerOptions parseOptions(const cxxopts::ParseResult &arguments)
{
    CallerOptions options;
    for (const std::string &it : arguments["entry"].as<std::vector<std::string>>()) {
        options.entries.push_back(parseEntryAddress(it));
    }
    options.service = arguments["service"].as<std::string>();
    options.callerAddress = arguments["caller"].as<std::string>();
    options.method = arguments["method"].as<std::string>();
    options.path = arguments["path"].as<std::string>();
    options.expectedBytes = arguments["expect-bytes"].as<std::size_t>();
    options.body = std::string(arguments["body-bytes"].as<std::size_t>(), 'b');
    options.requests = arguments["requests"].as<std::uint64_t>();
    options.rate = arguments["rate"].as<double>();
    options.concurrency = arguments["concurrency"].as<std::uint64_t>();
    options.attempts = arguments["attempts"].as<int>();
    options.deadline = milliseconds(arguments["deadline-ms"].as<int>());
    options.idPrefix = arguments["id-prefix"].as<std::string>();
    options.readRate = arguments["read-rate"].as<std::size_t>();
    return options;
}

int run(int argc, char **argv)
{
    cxxopts::Options options("caller-standin",
                             "Load tool that sends requests to entries as a caller, for tests");
    cxxopts::OptionAdder add = options.add_options();
    add("entry", "ADDRESS:PORT of an entry, repeatable",
        cxxopts::value<std::vector<std::string>>());
    add("service", "service to call", cxxopts::value<std::string>()->default_value("catalog"));
    add("caller", "address of the caller, as given in lookups and requests",
        cxxopts::value<std::string>()->default_value("127.0.0.1"));
    add("method", "HTTP method", cxxopts::value<std::string>()->default_value("GET"));
    add("path", "path and query that follow the service's name in the URI",
        cxxopts::value<std::string>()->default_value("/"));
    add("expect-bytes", "expected length of the response body in bytes; 0: only its first line",
        cxxopts::value<std::size_t>()->default_value("0"));
    add("body-bytes", "length of the request body in bytes",
        cxxopts::value<std::size_t>()->default_value("0"));
    add("requests", "number of requests", cxxopts::value<std::uint64_t>()->default_value("1"));
    add("rate", "requests per second; 0: limited only by --concurrency",
        cxxopts::value<double>()->default_value("0"));
    add("concurrency", "number of concurrent requests if --rate is 0",
        cxxopts::value<std::uint64_t>()->default_value("1"));
    add("attempts", "maximum number of attempts per request",
        cxxopts::value<int>()->default_value("6"));
    add("deadline-ms", "deadline of an attempt in milliseconds",
        cxxopts::value<int>()->default_value("10000"));
    add("id-prefix", "part of the request ids that distinguishes this run from others",
        cxxopts::value<std::string>()->default_value("c"));
    add("read-rate", "maximum rate of reading a response in bytes per second; 0: no limit",
        cxxopts::value<std::size_t>()->default_value("0"));
    add("journal", "file to append a JSON line to for each request",
        cxxopts::value<std::string>()->default_value(""));
    add("audit-callers",
        "callers' journals to compare with the targets' journals; sends no requests",
        cxxopts::value<std::vector<std::string>>());
    add("audit-targets", "targets' journals", cxxopts::value<std::vector<std::string>>());
    add("audit-allow-uncertain", "do not fail on requests that were reported as may-have-run");
    add("audit-prefix", "text that precedes the last line of the audit",
        cxxopts::value<std::string>()->default_value(""));
    add("help", "print this help");
    const cxxopts::ParseResult arguments = options.parse(argc, argv);
    if (arguments.count("help") != 0) {
        std::cout << options.help();
        return 0;
    }
    if (arguments.count("audit-callers") != 0) {
        return audit(arguments);
    }
    const std::shared_ptr<LogBuffer> log = initializeLogging("WARN");
    EventLoop loop;
    const LogWriter writer(loop, log, STDERR_FILENO);
    HttpClient client(loop);
    LoadRun load(loop, client, parseOptions(arguments), arguments["journal"].as<std::string>());
    load.start();
    loop.run();
    std::cout << load.summary() << std::endl;
    return 0;
}

} // namespace

int main(int argc, char **argv)
{
    try {
        return run(argc, argv);
    } catch (const std::exception &error) {
        std::cerr << "caller-standin: " << error.what() << '\n';
        return 1;
    }
}
