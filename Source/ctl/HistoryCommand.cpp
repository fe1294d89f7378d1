#include "ctl/AdminClient.h"
#include "ctl/Command.h"
#include "ctl/Output.h"
#include "document/AdminMessages.h"

#include <date/date.h>

#include <chrono>
#include <iostream>

namespace Tarragon {

namespace {

void addOptions(cxxopts::OptionAdder & /*options*/) {}

std::string formatTime(std::int64_t unixSeconds)
{
    return date::format("%FT%TZ", date::sys_seconds(seconds(unixSeconds)));
}

ExitCode run(const cxxopts::ParseResult &arguments)
{
    const AdminReply reply = makeAdminClient(arguments, false).call("GET", "/admin/v1/history");
    const bool asJson = arguments.count("json") > 0;
    if (reply.status != 200) {
        return reportRefusal(reply, {}, asJson);
    }
    if (asJson) {
        std::cout << reply.body << "\n";
        return ExitCode::Done;
    }
    std::vector<std::vector<std::string>> rows;
    for (const Acceptance &it : parseHistoryBody(reply.body)) {
        std::string sections;
        for (const auto &[name, reference] : it.sections) {
            sections +=
                    (sections.empty() ? "" : ", ") + name.value()
                    + (reference.digest.empty() ? " removed"
                                                : " " + std::to_string(reference.version.value()));
        }
        rows.push_back({ std::to_string(it.generation.value()), formatTime(it.unixSeconds),
                         it.team.isEmpty() ? "-" : it.team.value(), sections });
    }
    printTable({ "GENERATION", "TIME", "TEAM", "SECTIONS AND VERSIONS" }, rows);
    return ExitCode::Done;
}

} // namespace

Command historyCommand()
{
    return { "history", "List the latest accepted edits, newest first.", "", {}, true, addOptions,
             run };
}

} // namespace Tarragon
