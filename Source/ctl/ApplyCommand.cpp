#include "ctl/AdminClient.h"
#include "ctl/Command.h"
#include "ctl/EditFiles.h"
#include "ctl/Output.h"
#include "ctl/UsageError.h"
#include "document/AdminMessages.h"
#include "document/SectionDiff.h"
#include "document/ValueFormats.h"

#include <iostream>
#include <limits>

namespace Tarragon {

namespace {

void addOptions(cxxopts::OptionAdder &options)
{
    options("files", "Files with edited sections", cxxopts::value<std::vector<std::string>>());
    options("team", "Team that makes the edit. Default: the team of the token",
            cxxopts::value<std::string>(), "TEAM");
    addTokenOptions(options);
    options("based-on",
            "Version that the edit of a section is based on; overrides the version in the "
            "file. 0 for a new section",
            cxxopts::value<std::vector<std::string>>(), "SECTION=VERSION");
    options("remove", "Remove a section whose current version is VERSION",
            cxxopts::value<std::vector<std::string>>(), "SECTION=VERSION");
}

std::map<SectionName, SectionVersion> parseVersions(const std::vector<std::string> &texts)
{
    std::map<SectionName, SectionVersion> versions;
    for (const std::string &it : texts) {
        const std::size_t n = it.find('=');
        const IntegerFormat format{ 0, std::numeric_limits<int>::max() };
        const std::optional<int> version =
                n == std::string::npos ? std::nullopt : format(it.substr(n + 1));
        if (!version) {
            throw UsageError("found \"" + it
                             + "\", expected SECTION=VERSION with a whole number as version");
        }
        versions[SectionName(it.substr(0, n))] = SectionVersion(std::uint64_t(*version));
    }
    return versions;
}

/// Creates an edit of the sections that differ from the version they are based on. A section for
/// which --based-on is given is always part of the edit.
DocumentEdit makeEdit(const cxxopts::ParseResult &arguments, const EditFiles &files)
{
    DocumentEdit edit;
    edit.team = TeamId(textOption(arguments, "team"));
    const std::map<SectionName, SectionVersion> versions =
            parseVersions(listOption(arguments, "based-on"));
    for (const auto &[name, it] : files.sections) {
        const auto version = versions.find(name);
        if (version == versions.end() && !it.isEdited) {
            continue;
        }
        if (version == versions.end() && !it.basedOn) {
            throw UsageError("found no version for section " + name.value() + " in "
                             + files.origins.at(name).file
                             + ", expected the line that tarragonctl show writes, or --based-on "
                             + name.value() + "=VERSION");
        }
        edit.sections[name] = { it.text,
                                version == versions.end() ? *it.basedOn : version->second };
    }
    for (const auto &[name, version] : parseVersions(listOption(arguments, "remove"))) {
        edit.sections[name] = { std::nullopt, version };
    }
    return edit;
}

void printAccepted(const AcceptedEdit &accepted)
{
    std::cout << (accepted.isChanged ? "Accepted as generation "
                                     : "Nothing to change; the document is at generation ")
              << accepted.generation << ".\n";
    std::vector<std::vector<std::string>> rows;
    for (const auto &[name, it] : accepted.sections) {
        rows.push_back({ name.value(), std::to_string(it.version.value()), it.digest });
    }
    if (!rows.empty()) {
        printTable({ "SECTION", "VERSION", "SHA256" }, rows);
    }
}

void printConflicts(const std::vector<SectionConflict> &conflicts, const SectionOrigins &origins)
{
    for (const SectionConflict &it : conflicts) {
        const std::string name = it.section.value();
        const std::string current = name + " version " + std::to_string(it.current.value());
        const auto origin = origins.find(it.section);
        const std::string file = origin == origins.end() ? "your edit" : origin->second.file;
        std::cout << "Section " << name << " is at version " << it.current
                  << ", your edit is based on version " << it.basedOn << ".\n";
        if (it.current == SectionVersion()) {
            std::cout << "It was removed meanwhile.\n";
        } else if (it.basedOnText) {
            std::cout << "Changed meanwhile:\n"
                      << sectionDiff(*it.basedOnText, it.currentText,
                                     name + " version " + std::to_string(it.basedOn.value()),
                                     current);
        } else {
            std::cout << "The text of the version it is based on is not available. Your edit "
                         "compared with the current version:\n"
                      << sectionDiff(it.currentText, it.proposedText, current, file);
        }
        std::cout << "Your text is unchanged in " << file << ". Merge the changes above into it, "
                  << "then apply it with --based-on " << name << "=" << it.current << ".\n";
    }
}

ExitCode run(const cxxopts::ParseResult &arguments)
{
    const bool asJson = arguments.count("json") > 0;
    const std::vector<std::string> names = listOption(arguments, "files");
    EditFiles files;
    if (!names.empty() || arguments.count("remove") == 0) {
        files = readEditFiles(names);
    }
    if (!files.findings.empty()) {
        printFindings(files.findings, asJson);
        return ExitCode::Findings;
    }
    const AdminClient client = makeAdminClient(arguments, true);
    const DocumentEdit edit = makeEdit(arguments, files);
    if (edit.sections.empty()) {
        std::cout << (asJson ? "{\"changed\":false}\n" : "No section is edited.\n");
        return ExitCode::Done;
    }
    const AdminReply reply = client.call("POST", "/admin/v1/apply", applyBody(edit));
    if (reply.status != 200) {
        if (reply.status == 409 && !asJson) {
            printConflicts(parseAdminError(reply.body).conflicts, files.origins);
        }
        return reportRefusal(reply, files.origins, asJson);
    }
    if (asJson) {
        std::cout << reply.body << "\n";
    } else {
        printAccepted(parseAcceptedEdit(reply.body));
    }
    return ExitCode::Done;
}

} // namespace

Command applyCommand()
{
    return { "apply",   "Apply edited sections to the accepted document.",
             "FILE...", { "files" },
             true,      addOptions,
             run };
}

} // namespace Tarragon
