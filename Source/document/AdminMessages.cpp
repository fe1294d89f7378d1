#include "document/AdminMessages.h"

#include "base/Error.h"
#include "document/HeadJson.h"
#include "document/JsonFields.h"

namespace Tarragon {

namespace {

using nlohmann::json;

json toJson(const Finding &finding)
{
    return { { "file", finding.file },   { "section", finding.section },
             { "line", finding.line },   { "key", finding.key },
             { "found", finding.found }, { "expected", finding.expected } };
}

Finding readFinding(const json &object)
{
    Finding finding;
    finding.file = jsonTextOrEmpty(object, "file");
    finding.section = jsonText(object, "section");
    finding.line = int(jsonNumber(object, "line"));
    finding.key = jsonText(object, "key");
    finding.found = jsonText(object, "found");
    finding.expected = jsonText(object, "expected");
    return finding;
}

json toJson(const SectionConflict &conflict)
{
    return { { "section", conflict.section.value() },
             { "basedOn", conflict.basedOn.value() },
             { "current", conflict.current.value() },
             { "currentText", conflict.currentText },
             { "proposedText", conflict.proposedText },
             { "basedOnText", conflict.basedOnText ? json(*conflict.basedOnText) : json() } };
}

SectionConflict readConflict(const json &object)
{
    SectionConflict conflict;
    conflict.section = SectionName(jsonText(object, "section"));
    conflict.basedOn = SectionVersion(jsonNumber(object, "basedOn"));
    conflict.current = SectionVersion(jsonNumber(object, "current"));
    conflict.currentText = jsonText(object, "currentText");
    conflict.proposedText = jsonText(object, "proposedText");
    if (!jsonMember(object, "basedOnText").is_null()) {
        conflict.basedOnText = jsonText(object, "basedOnText");
    }
    return conflict;
}

const char *errorCode(EditStatus status)
{
    switch (status) {
    case EditStatus::Findings:
        return "findings";
    case EditStatus::UnknownToken:
        return "unknown-token";
    case EditStatus::NotOwner:
        return "not-owner";
    case EditStatus::Conflict:
        return "conflict";
    case EditStatus::NoDocument:
        return "no-document";
    case EditStatus::Ready:
    case EditStatus::Unchanged:
        break;
    }
    return "";
}

} // namespace

int httpStatus(EditStatus status)
{
    switch (status) {
    case EditStatus::Ready:
    case EditStatus::Unchanged:
        return 200;
    case EditStatus::Findings:
        return 400;
    case EditStatus::UnknownToken:
        return 401;
    case EditStatus::NotOwner:
        return 403;
    case EditStatus::Conflict:
        return 409;
    case EditStatus::NoDocument:
        return 503;
    }
    return 500;
}

std::string editResultBody(const EditResult &result, const DocumentEdit &edit)
{
    if (result.status != EditStatus::Ready && result.status != EditStatus::Unchanged) {
        return adminErrorBody({ errorCode(result.status), result.detail, result.findings,
                                result.conflicts, false });
    }
    std::map<SectionName, SectionReference> sections;
    for (const auto &[name, it] : edit.sections) {
        const auto reference = result.next.sections.find(name);
        if (reference != result.next.sections.end()) {
            sections[name] = reference->second;
        }
    }
    return dumpJson({ { "generation", result.next.generation.value() },
                      { "changed", result.status == EditStatus::Ready },
                      { "sections", sectionReferencesToJson(sections) } });
}

AcceptedEdit parseAcceptedEdit(const std::string &body)
{
    const json object = parseJsonObject(body);
    return { Generation(jsonNumber(object, "generation")), jsonBool(object, "changed"),
             readSectionReferences(object) };
}

std::string adminErrorBody(const AdminError &error)
{
    json object = { { "error", error.error }, { "detail", error.detail } };
    if (!error.findings.empty()) {
        json &findings = object["findings"] = json::array();
        for (const Finding &it : error.findings) {
            findings.push_back(toJson(it));
        }
    }
    if (!error.conflicts.empty()) {
        json &conflicts = object["conflicts"] = json::array();
        for (const SectionConflict &it : error.conflicts) {
            conflicts.push_back(toJson(it));
        }
    }
    if (error.mayBeAccepted) {
        object["mayBeAccepted"] = true;
    }
    return dumpJson(object);
}

AdminError parseAdminError(const std::string &body)
{
    const json object = parseJsonObject(body);
    AdminError error;
    error.error = jsonText(object, "error");
    error.detail = jsonText(object, "detail");
    if (object.contains("findings")) {
        for (const json &it : jsonArray(object, "findings")) {
            error.findings.push_back(readFinding(it));
        }
    }
    if (object.contains("conflicts")) {
        for (const json &it : jsonArray(object, "conflicts")) {
            error.conflicts.push_back(readConflict(it));
        }
    }
    error.mayBeAccepted = object.contains("mayBeAccepted") && jsonBool(object, "mayBeAccepted");
    return error;
}

std::string documentBody(const CurrentDocument &document)
{
    json sections = sectionReferencesToJson(document.head.sections);
    for (const auto &[name, text] : document.texts) {
        sections[name.value()]["text"] = text;
    }
    return dumpJson(
            { { "generation", document.head.generation.value() }, { "sections", sections } });
}

CurrentDocument parseDocumentBody(const std::string &body)
{
    const json object = parseJsonObject(body);
    CurrentDocument document;
    document.head.generation = Generation(jsonNumber(object, "generation"));
    document.head.sections = readSectionReferences(object);
    for (const auto &[name, it] : jsonObject(object, "sections").items()) {
        document.texts[SectionName(name)] = jsonText(it, "text");
    }
    return document;
}

std::string applyBody(const DocumentEdit &edit)
{
    json sections = json::object();
    for (const auto &[name, it] : edit.sections) {
        sections[name.value()] = { { "text", it.text ? json(*it.text) : json() },
                                   { "basedOn", it.basedOn.value() } };
    }
    return dumpJson({ { "team", edit.team.value() }, { "sections", sections } });
}

DocumentEdit parseApplyBody(const std::string &body)
{
    const json object = parseJsonObject(body);
    DocumentEdit edit;
    edit.team = TeamId(jsonTextOrEmpty(object, "team"));
    for (const auto &[name, it] : jsonObject(object, "sections").items()) {
        SectionEdit section;
        if (!jsonMember(it, "text").is_null()) {
            section.text = jsonText(it, "text");
        }
        section.basedOn = SectionVersion(jsonNumber(it, "basedOn"));
        edit.sections[SectionName(name)] = std::move(section);
    }
    if (edit.sections.empty()) {
        throw Error("key \"sections\": found no section, expected at least one");
    }
    return edit;
}

std::string historyBody(const Head &head)
{
    json acceptances = json::array();
    for (const Acceptance &it : head.recent) {
        acceptances.push_back(acceptanceToJson(it));
    }
    return dumpJson({ { "generation", head.generation.value() }, { "acceptances", acceptances } });
}

std::vector<Acceptance> parseHistoryBody(const std::string &body)
{
    std::vector<Acceptance> acceptances;
    const json object = parseJsonObject(body);
    for (const json &it : jsonArray(object, "acceptances")) {
        acceptances.push_back(readAcceptance(it));
    }
    return acceptances;
}

std::string stopBody(const PlannedStop &stop)
{
    return dumpJson({ { "kind", toString(stop.kind) },
                      { "id", stop.id },
                      { "deadlineSeconds", stop.deadline.count() },
                      { "reason", stop.reason } });
}

PlannedStop parseStopBody(const std::string &body)
{
    static constexpr std::uint64_t MaxDeadlineSeconds = 86'400;
    const json object = parseJsonObject(body);
    const std::optional<StopKind> kind = parseStopKind(jsonText(object, "kind"));
    if (!kind) {
        throw Error("key \"kind\": found \"" + jsonText(object, "kind")
                    + "\", expected target, instance, domain or region");
    }
    PlannedStop stop;
    stop.kind = *kind;
    stop.id = jsonText(object, "id");
    const std::uint64_t deadline = jsonNumber(object, "deadlineSeconds");
    if (deadline > MaxDeadlineSeconds) {
        throw Error("key \"deadlineSeconds\": found " + std::to_string(deadline)
                    + ", expected at most " + std::to_string(MaxDeadlineSeconds));
    }
    stop.deadline = seconds(deadline);
    stop.reason = jsonTextOrEmpty(object, "reason");
    return stop;
}

} // namespace Tarragon
