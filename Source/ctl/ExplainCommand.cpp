#include "ctl/Command.h"
#include "ctl/LogRecord.h"
#include "ctl/Output.h"
#include "ctl/UsageError.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <fstream>
#include <iostream>
#include <map>
#include <set>

namespace Tarragon {

namespace {

/// Log records of a request, and the state of the processes involved at that time.
struct Explanation
{
    /// Records about the request itself, ordered by time.
    std::vector<LogRecord> path;
    /// Of each process, the latest records before the request about the request's targets, the
    /// store, the route table and the start and stop of the process.
    std::vector<LogRecord> stateBefore;
};

void addOptions(cxxopts::OptionAdder &options)
{
    options("request", "Id of the request", cxxopts::value<std::string>());
    options("files", "Log files of any number of processes. Default: standard input",
            cxxopts::value<std::vector<std::string>>());
}

void readLog(std::istream &in, const std::string &source, std::vector<LogRecord> &records)
{
    for (std::string line; std::getline(in, line);) {
        if (std::optional<LogRecord> record = parseLogRecord(line, source)) {
            records.push_back(std::move(*record));
        }
    }
}

std::vector<LogRecord> readLogs(const std::vector<std::string> &files)
{
    std::vector<LogRecord> records;
    if (files.empty()) {
        readLog(std::cin, "-", records);
    }
    for (const std::string &it : files) {
        std::ifstream in(it);
        if (!in) {
            throw UsageError("cannot read the log file \"" + it + "\", expected a readable file");
        }
        readLog(in, it, records);
    }
    return records;
}

/// Returns the subject whose state a record changes, or an empty text if the record does not affect
/// later requests. Only the latest record for each subject is relevant.
std::string subjectOf(const LogRecord &record, const std::set<std::string> &targets)
{
    if (record.event == "target" && targets.contains(record.field("target"))) {
        return "target " + record.field("target");
    }
    if (record.event == "store-lost" || record.event == "store-regained") {
        return "store";
    }
    if (record.event == "route-table-adopted") {
        return "routes";
    }
    if (record.event == "started" || record.event == "leaving") {
        return "process";
    }
    return {};
}

Explanation explain(const std::vector<LogRecord> &records, const std::string &request)
{
    Explanation result;
    std::set<std::string> targets;
    // The clocks of processes differ. Whether a record precedes the request is therefore decided by
    // the order of lines in each process's log, not by time.
    std::map<std::string, std::size_t> lastLine;
    for (std::size_t i = 0; i < records.size(); ++i) {
        if (records[i].field("request") == request) {
            result.path.push_back(records[i]);
            targets.insert(records[i].field("target"));
            targets.insert(records[i].field("busyHome"));
            lastLine[records[i].source] = i;
        }
    }
    std::map<std::pair<std::string, std::string>, LogRecord> latest;
    for (std::size_t i = 0; i < records.size(); ++i) {
        const auto last = lastLine.find(records[i].source);
        const std::string subject = subjectOf(records[i], targets);
        if (last != lastLine.end() && i < last->second && !subject.empty()) {
            latest[{ records[i].source, subject }] = records[i];
        }
    }
    for (const auto &[key, record] : latest) {
        result.stateBefore.push_back(record);
    }
    const auto byTime = [](const LogRecord &a, const LogRecord &b) { return a.time < b.time; };
    std::stable_sort(result.path.begin(), result.path.end(), byTime);
    std::stable_sort(result.stateBefore.begin(), result.stateBefore.end(), byTime);
    return result;
}

nlohmann::json toJson(const std::vector<LogRecord> &records)
{
    nlohmann::json list = nlohmann::json::array();
    for (const LogRecord &it : records) {
        nlohmann::json fields = nlohmann::json::object();
        for (const auto &[key, value] : it.fields) {
            fields[key] = value;
        }
        list.push_back({ { "time", it.time },
                         { "source", it.source },
                         { "part", it.part },
                         { "event", it.event },
                         { "fields", std::move(fields) } });
    }
    return list;
}

void printRecords(const std::vector<LogRecord> &records)
{
    std::vector<std::vector<std::string>> rows;
    for (const LogRecord &it : records) {
        std::string fields;
        for (const auto &[key, value] : it.fields) {
            if (key != "request") {
                fields.append(fields.empty() ? "" : " ").append(key).append("=").append(value);
            }
        }
        rows.push_back({ it.time, it.source, it.event, fields });
    }
    printTable({ "TIME", "SOURCE", "EVENT", "INPUTS" }, rows);
}

ExitCode run(const cxxopts::ParseResult &arguments)
{
    const std::string request = requiredArgument(arguments, "request");
    const Explanation result = explain(readLogs(listOption(arguments, "files")), request);
    if (arguments.count("json") > 0) {
        std::cout << nlohmann::json{
            { "path", toJson(result.path) }, { "beliefs", toJson(result.stateBefore) }
        }.dump(2) << "\n";
    } else if (!result.path.empty()) {
        printRecords(result.path);
        std::cout << "\nNewest before it\n";
        printRecords(result.stateBefore);
    }
    if (result.path.empty()) {
        throw UsageError("found no log record of the request \"" + request
                         + "\", expected a request id that occurs in the logs");
    }
    return ExitCode::Done;
}

} // namespace

Command explainCommand()
{
    return { "explain",
             "Show a request's path through the logs of any number of processes.",
             "REQUEST [FILE...]",
             { "request", "files" },
             false,
             addOptions,
             run };
}

} // namespace Tarragon
