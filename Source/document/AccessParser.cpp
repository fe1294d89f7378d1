#include "document/AccessParser.h"

#include "document/MappingReader.h"
#include "document/ValueFormats.h"

namespace Tarragon {

namespace {

void readTeams(const YamlValue &value, AccessRules &access)
{
    MappingReader reader(value);
    std::map<std::string, std::string> teamsByDigest;
    for (const auto &[name, it] : reader.entries()) {
        const IdFormat<TeamId> format{ false };
        const std::optional<TeamId> team = format(name);
        if (!team) {
            it.context().report(it.line(), it.key(), quotedText(name), format.expected());
            continue;
        }
        std::string &digest = access.tokenDigests[*team];
        MappingReader teamReader(it);
        if (teamReader.require("tokenSha256", digest, Sha256Format())) {
            // POST /admin/v1/stops names no team: the token alone identifies it, so no two teams
            // may share a token.
            const auto [position, isNew] = teamsByDigest.emplace(digest, name);
            if (!isNew) {
                teamReader.find("tokenSha256")
                        ->report("a token of its own; team " + position->second + " has it too");
            }
        }
        teamReader.finish();
    }
    if (reader.isMapping() && reader.entries().empty()) {
        value.report("at least one team");
    }
}

void readOwners(const YamlValue &value, AccessRules &access, const std::set<SectionName> &sections)
{
    MappingReader reader(value);
    for (const auto &[name, it] : reader.entries()) {
        const SectionName section(name);
        if (!sections.contains(section)) {
            it.context().report(it.line(), it.key(), quotedText(name), "a section of the document");
        }
        const std::optional<TeamId> team = it.read(IdFormat<TeamId>{ false });
        if (!team) {
            access.owners[section];
            continue;
        }
        if (!access.tokenDigests.contains(*team)) {
            it.report("a team of the access section");
        }
        access.owners[section] = *team;
    }
    if (!reader.isMapping()) {
        return;
    }
    for (const SectionName &it : sections) {
        if (!access.owners.contains(it)) {
            value.context().report(value.line(), joinKey(value.key(), it.value()), "nothing",
                                   "the team that owns the section");
        }
    }
}

} // namespace

AccessRules parseAccess(const YamlValue &value, const std::set<SectionName> &sections)
{
    AccessRules access;
    MappingReader reader(value);
    if (const std::optional<YamlValue> teams = reader.require("teams", "a mapping")) {
        readTeams(*teams, access);
    }
    if (const std::optional<YamlValue> owners = reader.require("owners", "a mapping")) {
        readOwners(*owners, access, sections);
    }
    reader.finish();
    return access;
}

} // namespace Tarragon
