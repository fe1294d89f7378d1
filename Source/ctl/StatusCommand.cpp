#include "ctl/AdminClient.h"
#include "ctl/Command.h"
#include "ctl/Output.h"
#include "document/JsonFields.h"

#include <iostream>

namespace Tarragon {

namespace {

using nlohmann::json;

void addOptions(cxxopts::OptionAdder & /*options*/) {}

/// Returns the text of a value for a table cell; "-" if the key is absent or null.
std::string cell(const json &object, const char *key)
{
    const auto it = object.find(key);
    if (it == object.end() || it->is_null()) {
        return "-";
    }
    return it->is_string() ? it->get<std::string>() : dumpJson(*it);
}

/// Prints the array under a key as a table with a title. Each pair of key and heading in columns
/// gives one column. Prints nothing if the array is absent or empty.
void printArray(const json &object, const char *key, const std::string &title,
                const std::vector<std::pair<const char *, const char *>> &columns)
{
    if (!object.contains(key) || jsonArray(object, key).empty()) {
        return;
    }
    std::vector<std::string> headings;
    headings.reserve(columns.size());
    for (const auto &[name, heading] : columns) {
        headings.emplace_back(heading);
    }
    std::vector<std::vector<std::string>> rows;
    for (const json &it : jsonArray(object, key)) {
        std::vector<std::string> row;
        row.reserve(columns.size());
        for (const auto &[name, heading] : columns) {
            row.push_back(cell(it, name));
        }
        rows.push_back(std::move(row));
    }
    std::cout << "\n" << title << "\n";
    printTable(headings, rows);
}

void printStops(const json &status)
{
    if (!status.contains("stops") || jsonArray(status, "stops").empty()) {
        return;
    }
    std::vector<std::vector<std::string>> rows;
    for (const json &it : jsonArray(status, "stops")) {
        std::string pending;
        if (it.contains("pending")) {
            for (const json &waiting : jsonArray(it, "pending")) {
                pending += (pending.empty() ? "" : "; ") + cell(waiting, "count") + " "
                           + cell(waiting, "what") + " at " + cell(waiting, "instance");
            }
        }
        rows.push_back({ cell(it, "kind"), cell(it, "id"), cell(it, "state"),
                         cell(it, "deadlineSeconds"), pending.empty() ? "-" : pending,
                         cell(it, "reason") });
    }
    std::cout << "\nPlanned stops\n";
    printTable({ "KIND", "ID", "STATE", "DEADLINE S", "PENDING", "REASON" }, rows);
}

ExitCode run(const cxxopts::ParseResult &arguments)
{
    const AdminReply reply = makeAdminClient(arguments, false).call("GET", "/admin/v1/status");
    const bool asJson = arguments.count("json") > 0;
    if (reply.status != 200) {
        return reportRefusal(reply, {}, asJson);
    }
    const json status = parseJsonObject(reply.body);
    if (asJson) {
        std::cout << reply.body << "\n";
        return ExitCode::Done;
    }
    const auto store = status.find("store");
    printTable({ "INSTANCE", "DOMAIN", "REGION", "STATE", "GENERATION", "PLAN", "STORE REACHABLE" },
               { { cell(status, "instance"), cell(status, "failureDomain"), cell(status, "region"),
                   cell(status, "state"), cell(status, "generation"), cell(status, "planVersion"),
                   store == status.end() ? "-" : cell(*store, "reachable") } });
    printArray(status, "members", "Entries and targets",
               { { "kind", "KIND" },
                 { "id", "ID" },
                 { "failureDomain", "DOMAIN" },
                 { "state", "STATE" },
                 { "generation", "GENERATION" },
                 { "planVersion", "PLAN" },
                 { "heardMs", "HEARD MS AGO" } });
    printArray(status, "services", "Load",
               { { "service", "SERVICE" },
                 { "region", "REGION" },
                 { "slots", "SLOTS" },
                 { "used", "USED" },
                 { "queued", "QUEUED" } });
    printStops(status);
    return ExitCode::Done;
}

} // namespace

Command statusCommand()
{
    return {
        "status", "Show the state of an entry: generation, plan, members, load and planned stops.",
        "",       {},
        true,     addOptions,
        run
    };
}

} // namespace Tarragon
