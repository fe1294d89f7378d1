#include "ctl/AdminClient.h"
#include "ctl/Command.h"
#include "ctl/Output.h"
#include "ctl/UsageError.h"
#include "document/AdminMessages.h"
#include "document/EditableText.h"

#include <iostream>

namespace Tarragon {

namespace {

void addOptions(cxxopts::OptionAdder &options)
{
    options("sections", "Sections to show. Default: all",
            cxxopts::value<std::vector<std::string>>());
}

ExitCode run(const cxxopts::ParseResult &arguments)
{
    const AdminReply reply = makeAdminClient(arguments, false).call("GET", "/admin/v1/document");
    const bool asJson = arguments.count("json") > 0;
    if (reply.status != 200) {
        return reportRefusal(reply, {}, asJson);
    }
    CurrentDocument document = parseDocumentBody(reply.body);
    std::set<SectionName> sections;
    for (const std::string &it : listOption(arguments, "sections")) {
        if (!document.texts.contains(SectionName(it))) {
            throw UsageError("found section \"" + it + "\", expected a section of the document");
        }
        sections.insert(SectionName(it));
    }
    if (sections.empty()) {
        for (const auto &[name, text] : document.texts) {
            sections.insert(name);
        }
    }
    if (!asJson) {
        std::cout << formatEditable(document, sections);
        return ExitCode::Done;
    }
    std::erase_if(document.texts, [&](const auto &it) { return !sections.contains(it.first); });
    std::erase_if(document.head.sections,
                  [&](const auto &it) { return !sections.contains(it.first); });
    std::cout << documentBody(document) << "\n";
    return ExitCode::Done;
}

} // namespace

Command showCommand()
{
    return { "show",
             "Print the accepted document, ready to be edited and applied.",
             "[SECTION...]",
             { "sections" },
             true,
             addOptions,
             run };
}

} // namespace Tarragon
