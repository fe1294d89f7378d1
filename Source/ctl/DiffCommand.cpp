#include "ctl/AdminClient.h"
#include "ctl/Command.h"
#include "ctl/EditFiles.h"
#include "ctl/Output.h"
#include "document/AdminMessages.h"
#include "document/SectionDiff.h"

#include <nlohmann/json.hpp>

#include <iostream>

namespace Tarragon {

namespace {

void addOptions(cxxopts::OptionAdder &options)
{
    options("files", "Files with edited sections", cxxopts::value<std::vector<std::string>>());
}

ExitCode run(const cxxopts::ParseResult &arguments)
{
    const bool asJson = arguments.count("json") > 0;
    const EditFiles files = readEditFiles(listOption(arguments, "files"));
    if (!files.findings.empty()) {
        printFindings(files.findings, asJson);
        return ExitCode::Findings;
    }
    const AdminReply reply = makeAdminClient(arguments, false).call("GET", "/admin/v1/document");
    if (reply.status != 200) {
        return reportRefusal(reply, files.origins, asJson);
    }
    const CurrentDocument document = parseDocumentBody(reply.body);
    nlohmann::json diffs = nlohmann::json::object();
    for (const auto &[name, it] : files.sections) {
        const auto text = document.texts.find(name);
        const auto reference = document.head.sections.find(name);
        const std::uint64_t version =
                reference == document.head.sections.end() ? 0 : reference->second.version.value();
        diffs[name.value()] = sectionDiff(
                text == document.texts.end() ? std::string() : text->second, it.text,
                name.value() + " version " + std::to_string(version), files.origins.at(name).file);
    }
    if (asJson) {
        std::cout << nlohmann::json{
            { "generation", document.head.generation.value() }, { "diffs", diffs }
        }.dump() << "\n";
        return ExitCode::Done;
    }
    for (const auto &[name, diff] : diffs.items()) {
        std::cout << diff.get<std::string>();
    }
    return ExitCode::Done;
}

} // namespace

Command diffCommand()
{
    return { "diff",    "Show the differences between files and the accepted document.",
             "FILE...", { "files" },
             true,      addOptions,
             run };
}

} // namespace Tarragon
