#include "document/HeadJson.h"

#include "document/JsonFields.h"

namespace Tarragon {

using nlohmann::json;

json sectionReferencesToJson(const std::map<SectionName, SectionReference> &sections)
{
    json result = json::object();
    for (const auto &[name, it] : sections) {
        result[name.value()] = { { "digest", it.digest }, { "version", it.version.value() } };
    }
    return result;
}

std::map<SectionName, SectionReference> readSectionReferences(const json &object)
{
    std::map<SectionName, SectionReference> sections;
    for (const auto &[name, it] : jsonObject(object, "sections").items()) {
        sections[SectionName(name)] = { jsonText(it, "digest"),
                                        SectionVersion(jsonNumber(it, "version")) };
    }
    return sections;
}

json acceptanceToJson(const Acceptance &acceptance)
{
    return { { "generation", acceptance.generation.value() },
             { "team", acceptance.team.value() },
             { "sections", sectionReferencesToJson(acceptance.sections) },
             { "proposalId", acceptance.proposalId },
             { "unixSeconds", acceptance.unixSeconds } };
}

Acceptance readAcceptance(const json &object)
{
    Acceptance acceptance;
    acceptance.generation = Generation(jsonNumber(object, "generation"));
    acceptance.team = TeamId(jsonText(object, "team"));
    acceptance.sections = readSectionReferences(object);
    acceptance.proposalId = jsonText(object, "proposalId");
    acceptance.unixSeconds = std::int64_t(jsonNumber(object, "unixSeconds"));
    return acceptance;
}

} // namespace Tarragon
