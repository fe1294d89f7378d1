#include "StandIns/caller/JournalAudit.h"

#include "base/Error.h"

#include <nlohmann/json.hpp>

#include <fstream>
#include <functional>
#include <map>

namespace Tarragon {

namespace {

void forEachLine(const std::string &path, const std::function<void(const nlohmann::json &)> &use)
{
    std::ifstream file(path);
    if (!file) {
        throw Error("cannot read the journal \"" + path + "\"");
    }
    std::string line;
    int number = 0;
    while (std::getline(file, line)) {
        ++number;
        const nlohmann::json json = nlohmann::json::parse(line, nullptr, false);
        if (!json.is_object()) {
            throw Error(path + ":" + std::to_string(number) + ": expected a JSON object");
        }
        use(json);
    }
}

} // namespace

AuditResult auditJournals(const std::vector<std::string> &callerFiles,
                          const std::vector<std::string> &targetFiles)
{
    AuditResult result;
    std::map<std::string, std::uint64_t> starts;
    for (const std::string &it : targetFiles) {
        forEachLine(it, [&](const nlohmann::json &json) {
            if (json.at("event") != "start") {
                return;
            }
            const std::uint64_t n = ++starts[json.at("requestId")];
            if (json.at("method") == "POST" && n == 2) {
                ++result.runTwice;
            }
        });
    }
    for (const std::string &it : callerFiles) {
        forEachLine(it, [&](const nlohmann::json &json) {
            ++result.requests;
            const std::string outcome = json.at("result");
            result.whole += outcome == "whole" ? 1 : 0;
            result.notRun += outcome == "not-run" ? 1 : 0;
            result.uncertain += outcome == "uncertain" ? 1 : 0;
            result.lost += outcome == "lost" ? 1 : 0;
            const bool wasStarted = starts.count(json.at("requestId")) != 0;
            result.falseNotRun += outcome == "not-run" && wasStarted ? 1 : 0;
        });
    }
    return result;
}

std::string toString(const AuditResult &result)
{
    return std::to_string(result.requests) + " requests, " + std::to_string(result.whole)
           + " whole, " + std::to_string(result.notRun - result.falseNotRun)
           + " refused as not run, "
           + std::to_string(result.lost + result.uncertain + result.falseNotRun) + " lost, "
           + std::to_string(result.runTwice) + " run twice";
}

} // namespace Tarragon
