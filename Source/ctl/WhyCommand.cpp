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
    options("service", "Service that is looked up", cxxopts::value<std::string>());
    options("caller", "IPv4 address of the caller", cxxopts::value<std::string>());
}

std::string formatShare(const json &partsPerMillion)
{
    static constexpr double PartsPerPercent = 10'000;
    json percent = partsPerMillion.get<double>() / PartsPerPercent;
    return percent.dump() + "%";
}

void printWhy(const json &why)
{
    std::cout << "Caller " << jsonText(why, "caller") << " is in region "
              << jsonText(why, "callerRegion") << " by "
              << (jsonTextOrEmpty(why, "block").empty() ? "default"
                                                        : "block " + jsonText(why, "block"))
              << ". Generation " << jsonNumber(why, "generation") << ", plan "
              << jsonNumber(why, "planVersion") << ".\n\n";
    std::vector<std::vector<std::string>> rows;
    for (const auto &[region, share] : jsonObject(why, "weights").items()) {
        rows.push_back({ region, share.is_number() ? formatShare(share) : "-" });
    }
    printTable({ "REGION", "WEIGHT" }, rows);
    std::cout << "\n";
    rows.clear();
    for (const json &it : jsonArray(why, "entries")) {
        rows.push_back({ jsonText(it, "id"), jsonText(it, "address"), jsonText(it, "failureDomain"),
                         jsonText(it, "region") });
    }
    printTable({ "ENTRY", "ADDRESS", "DOMAIN", "REGION" }, rows);
    for (const json &it : jsonArray(why, "excluded")) {
        std::cout << "Not " << jsonText(it, "id") << ": " << jsonText(it, "reason") << "\n";
    }
    for (const json &it : jsonArray(why, "steps")) {
        std::cout << "- " << (it.is_string() ? it.get<std::string>() : dumpJson(it)) << "\n";
    }
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
             "Explain where a caller is sent and why.",
             "SERVICE CALLER",
             { "service", "caller" },
             true,
             addOptions,
             run };
}

} // namespace Tarragon
