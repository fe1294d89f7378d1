#include "ctl/Command.h"
#include "ctl/EditFiles.h"
#include "ctl/Output.h"
#include "document/DocumentParser.h"

#include <iostream>

namespace Tarragon {

namespace {

void addOptions(cxxopts::OptionAdder &options)
{
    options("files", "Files that together contain all sections of the document",
            cxxopts::value<std::vector<std::string>>());
}

ExitCode run(const cxxopts::ParseResult &arguments)
{
    const bool asJson = arguments.count("json") > 0;
    EditFiles files = readEditFiles(listOption(arguments, "files"));
    Findings findings = std::move(files.findings);
    const std::optional<Configuration> document =
            parseSplitDocument(files.texts(), files.origins, findings);
    if (!document) {
        printFindings(findings, asJson);
        return ExitCode::Findings;
    }
    if (asJson) {
        std::cout << "{\"findings\":[]}\n";
    } else {
        std::cout << "No findings in " << files.sections.size() << " sections.\n";
    }
    return ExitCode::Done;
}

} // namespace

Command checkCommand()
{
    return { "check",   "Check a document without contacting a server.",
             "FILE...", { "files" },
             false,     addOptions,
             run };
}

} // namespace Tarragon
