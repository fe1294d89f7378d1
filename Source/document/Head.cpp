#include "document/Head.h"

#include "base/Error.h"
#include "document/HeadJson.h"
#include "document/JsonFields.h"

namespace Tarragon {

std::string sectionObjectKey(const SectionName &section, const std::string &digest)
{
    return "config/section/" + section.value() + "/" + digest;
}

std::string serializeHead(const Head &head)
{
    nlohmann::json recent = nlohmann::json::array();
    for (const Acceptance &it : head.recent) {
        recent.push_back(acceptanceToJson(it));
    }
    return dumpJson({ { "generation", head.generation.value() },
                      { "sections", sectionReferencesToJson(head.sections) },
                      { "recent", recent } });
}

Head parseHead(const std::string &text)
{
    try {
        const nlohmann::json document = parseJsonObject(text);
        Head head;
        head.generation = Generation(jsonNumber(document, "generation"));
        head.sections = readSectionReferences(document);
        for (const nlohmann::json &it : jsonArray(document, "recent")) {
            head.recent.push_back(readAcceptance(it));
        }
        return head;
    } catch (const Error &e) {
        throw Error("head: " + std::string(e.what()));
    }
}

} // namespace Tarragon
