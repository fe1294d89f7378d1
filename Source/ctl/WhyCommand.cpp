#include "ctl/AdminClient.h"
#include "ctl/Command.h"
#include "ctl/Output.h"
#include "ctl/UsageError.h"
#include "document/JsonFields.h"
#include "document/ValueFormats.h"

#include <iostream>

namespace Tarragon {

namespace {

using nlohmann::json;

void addOptions(cxxopts::OptionAdder &options)
{
    options("service", "Service to look up", cxxopts::value<std::string>());
    options("caller", "IPv4 address of the caller", cxxopts::value<std::string>());
}

std::string formatPercentage(const json &partsPerMillion)
{
    static constexpr double PartsPerPercent = 10'000;
    return json(partsPerMillion.get<double>() / PartsPerPercent).dump() + "%";
}

void printWhy(const json &why)
{
    const std::string block = jsonTextOrEmpty(why, "block");
    std::cout << "Caller " << jsonText(why, "caller") << " is in region "
              << jsonText(why, "callerRegion") << (block.empty() ? " by default" : " by block ")
              << block << ".\nGeneration " << jsonNumber(why, "generation") << ", plan "
              << jsonNumber(why, "planVersion") << ": "
              << (jsonBool(why, "fromPlan") ? "the plan's weights decide"
                                            : "the plan has no weights for the region")
              << ".\nOutcome: " << jsonText(why, "outcome") << ", region "
              << jsonTextOrEmpty(why, "servingRegion") << ".\n";
    std::vector<std::vector<std::string>> rows;
    for (const json &it : jsonArray(why, "candidates")) {
        rows.push_back({ jsonText(it, "region"), formatPercentage(jsonMember(it, "weightPpm")),
                         jsonMember(it, "score").dump() });
    }
    if (!rows.empty()) {
        std::cout << "\n";
        printTable({ "REGION", "WEIGHT", "SCORE, LOWEST WINS" }, rows);
    }
    rows.clear();
    for (const json &it : jsonArray(why, "entries")) {
        const std::uint64_t position = jsonNumber(it, "position");
        rows.push_back({ position == 0 ? "-" : std::to_string(position), jsonText(it, "id"),
                         jsonText(it, "failureDomain"), jsonText(it, "region"),
                         jsonText(it, "state") });
    }
    std::cout << "\n";
    printTable({ "POSITION", "ENTRY", "DOMAIN", "REGION", "STATE" }, rows);
}

ExitCode run(const cxxopts::ParseResult &arguments)
{
    const std::string service = requiredArgument(arguments, "service");
    const std::string caller = requiredArgument(arguments, "caller");
    if (!isIdentifier(service, false)) {
        throw UsageError("found service \"" + service + "\", expected an identifier");
    }
    if (!AddressFormat()(caller)) {
        throw UsageError("found caller \"" + caller + "\", expected " + AddressFormat().expected());
    }
    const AdminReply reply =
            makeAdminClient(arguments, false)
                    .call("GET", "/admin/v1/why?service=" + service + "&caller=" + caller);
    const bool asJson = arguments.count("json") > 0;
    if (reply.status != 200) {
        return reportRefusal(reply, {}, asJson);
    }
    if (asJson) {
        std::cout << reply.body << "\n";
    } else {
        printWhy(parseJsonObject(reply.body));
    }
    return ExitCode::Done;
}

} // namespace

Command whyCommand()
{
    return { "why",
             "Explain which entries a caller is directed to, and why.",
             "SERVICE CALLER",
             { "service", "caller" },
             true,
             addOptions,
             run };
}

} // namespace Tarragon
