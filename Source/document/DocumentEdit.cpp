#include "document/DocumentEdit.h"

#include "base/Digest.h"
#include "document/DocumentParser.h"

#include <algorithm>

namespace Tarragon {

namespace {

const SectionName accessSection("access");

EditResult refusedResult(EditStatus status, std::string detail)
{
    EditResult result;
    result.status = status;
    result.detail = std::move(detail);
    return result;
}

std::string currentTextOf(const CurrentDocument &current, const SectionName &section)
{
    const auto it = current.texts.find(section);
    return it == current.texts.end() ? std::string() : it->second;
}

/// Returns the version that an edit of the section must be based on; 0 if there is no such section.
SectionVersion currentVersion(const Head &head, const SectionName &section)
{
    const auto it = head.sections.find(section);
    return it == head.sections.end() ? SectionVersion() : it->second.version;
}

/// Returns the version of the section after an edit. The first version of a new section is the
/// number of the new generation: no version exceeds the generation, so a section that is removed
/// and added again never reuses a version.
SectionVersion nextVersion(const Head &head, const SectionName &section)
{
    const auto it = head.sections.find(section);
    return it == head.sections.end() ? SectionVersion(head.generation.next().value())
                                     : it->second.version.next();
}

/// Returns the digest of a version of the section; empty if the version is not among the head's
/// recent acceptances.
std::string digestOfVersion(const Head &head, const SectionName &section, SectionVersion version)
{
    for (const Acceptance &acceptance : head.recent) {
        const auto it = acceptance.sections.find(section);
        if (it != acceptance.sections.end() && it->second.version == version) {
            return it->second.digest;
        }
    }
    return {};
}

/// Whether the accepted document already has the section as the edit sets it.
bool isAlreadyApplied(const CurrentDocument &current, const SectionName &section,
                      const SectionEdit &edit)
{
    const auto it = current.head.sections.find(section);
    if (!edit.text) {
        return it == current.head.sections.end();
    }
    return it != current.head.sections.end() && it->second.digest == sha256Hex(*edit.text);
}

/// Returns the sections of the edit that the team may not change. Unchanged sections need no
/// ownership, so that an operator can apply a complete document after editing one section of it. A
/// new section has no owner yet: the team that owns "access" adds it, because its owner is entered
/// in that section. The same team may remove any section.
std::vector<SectionName> sectionsNotOwned(const CurrentDocument &current, const AccessRules &access,
                                          const TeamId &team, const DocumentEdit &edit)
{
    std::vector<SectionName> notOwned;
    const auto accessOwner = access.owners.find(accessSection);
    const bool ownsAccess = accessOwner != access.owners.end() && accessOwner->second == team;
    for (const auto &[section, it] : edit.sections) {
        const auto owner = access.owners.find(section);
        const bool isOwner = owner != access.owners.end() && owner->second == team;
        const bool isNewOrRemoved = owner == access.owners.end() || !it.text;
        if (!isOwner && !(isNewOrRemoved && ownsAccess)
            && !isAlreadyApplied(current, section, it)) {
            notOwned.push_back(section);
        }
    }
    return notOwned;
}

std::vector<SectionConflict> findConflicts(const CurrentDocument &current, const DocumentEdit &edit)
{
    std::vector<SectionConflict> conflicts;
    for (const auto &[section, it] : edit.sections) {
        const SectionVersion version = currentVersion(current.head, section);
        // An edit that has already been applied is no conflict: the operator repeats it when the
        // response was lost.
        if (it.basedOn == version || isAlreadyApplied(current, section, it)) {
            continue;
        }
        conflicts.push_back({ section, it.basedOn, version, currentTextOf(current, section),
                              it.text.value_or(std::string()),
                              digestOfVersion(current.head, section, it.basedOn), std::nullopt });
    }
    return conflicts;
}

std::string joinNames(const std::vector<SectionName> &sections)
{
    std::string text;
    for (const SectionName &it : sections) {
        text += (text.empty() ? "" : ", ") + it.value();
    }
    return text;
}

/// Builds the next head from the changed sections and validates the resulting document.
EditResult buildNextHead(const CurrentDocument &current, const DocumentEdit &edit,
                         const TeamId &team)
{
    EditResult result;
    result.team = team;
    result.next = current.head;
    result.texts = current.texts;
    Acceptance acceptance;
    acceptance.generation = current.head.generation.next();
    acceptance.team = team;
    acceptance.proposalId = edit.proposalId;
    acceptance.unixSeconds = edit.unixSeconds;
    for (const auto &[section, it] : edit.sections) {
        if (isAlreadyApplied(current, section, it)) {
            continue;
        }
        SectionReference reference{ {}, nextVersion(current.head, section) };
        if (it.text) {
            reference.digest = sha256Hex(*it.text);
            result.next.sections[section] = reference;
            result.texts[section] = *it.text;
            result.objects[sectionObjectKey(section, reference.digest)] = *it.text;
        } else {
            result.next.sections.erase(section);
            result.texts.erase(section);
        }
        acceptance.sections[section] = reference;
    }
    if (acceptance.sections.empty()) {
        result.status = EditStatus::Unchanged;
        return result;
    }
    result.configuration = parseDocument(result.texts, "", result.findings);
    if (!result.configuration) {
        EditResult faulty =
                refusedResult(EditStatus::Findings,
                              "the document with this edit applied has faults; see the findings");
        faulty.team = team;
        faulty.findings = std::move(result.findings);
        return faulty;
    }
    result.next.generation = acceptance.generation;
    result.configuration->generation = acceptance.generation;
    std::vector<Acceptance> &recent = result.next.recent;
    recent.insert(recent.begin(), std::move(acceptance));
    if (recent.size() > Head::MaxRecentAcceptances) {
        recent.resize(Head::MaxRecentAcceptances);
    }
    return result;
}

} // namespace

std::optional<TeamId> findTeam(const AccessRules &access, const std::string &token)
{
    const std::string digest = sha256Hex(token);
    std::optional<TeamId> team;
    for (const auto &[id, expected] : access.tokenDigests) {
        if (secretsEqual(digest, expected)) {
            team = id;
        }
    }
    return team;
}

EditResult prepareEdit(const CurrentDocument &current, const DocumentEdit &edit)
{
    if (current.head.generation == Generation()) {
        return refusedResult(
                EditStatus::NoDocument,
                "no document has been accepted yet; start an entry with a document in its "
                "settings");
    }
    // Only the "access" section of the accepted document is parsed. After an upgrade to a version
    // with stricter checks, a document with faults in other sections can still be edited.
    Findings findings;
    const std::optional<AccessRules> access = parseAccessRules(current.texts, findings);
    if (!access) {
        EditResult result = refusedResult(
                EditStatus::Findings,
                "section access of the accepted document has faults; see the findings");
        result.findings = std::move(findings);
        return result;
    }
    const std::optional<TeamId> team = findTeam(*access, edit.token);
    if (!team || (!edit.team.isEmpty() && *team != edit.team)) {
        return refusedResult(EditStatus::UnknownToken,
                             edit.team.isEmpty()
                                     ? "the token belongs to no team of section access"
                                     : "the token does not belong to team " + edit.team.value());
    }
    const std::vector<SectionName> notOwned = sectionsNotOwned(current, *access, *team, edit);
    if (!notOwned.empty()) {
        EditResult result =
                refusedResult(EditStatus::NotOwner,
                              "team " + team->value() + " does not own " + joinNames(notOwned));
        result.team = *team;
        return result;
    }
    std::vector<SectionConflict> conflicts = findConflicts(current, edit);
    if (!conflicts.empty()) {
        EditResult result = refusedResult(EditStatus::Conflict, "");
        std::vector<SectionName> sections;
        sections.reserve(conflicts.size());
        for (const SectionConflict &it : conflicts) {
            sections.push_back(it.section);
        }
        result.detail =
                "changed since the version that the edit is based on: " + joinNames(sections);
        result.team = *team;
        result.conflicts = std::move(conflicts);
        return result;
    }
    return buildNextHead(current, edit, *team);
}

EditResult prepareSeed(const SectionTexts &texts, const std::string &proposalId,
                       std::int64_t unixSeconds)
{
    DocumentEdit edit;
    edit.proposalId = proposalId;
    edit.unixSeconds = unixSeconds;
    for (const auto &[section, text] : texts) {
        edit.sections[section] = SectionEdit{ text, SectionVersion() };
    }
    return buildNextHead(CurrentDocument(), edit, TeamId());
}

ProposalOutcome reconcile(const Head &head, const std::string &proposalId, Generation proposed)
{
    for (const Acceptance &it : head.recent) {
        if (it.proposalId == proposalId) {
            return ProposalOutcome::Accepted;
        }
    }
    if (head.generation < proposed) {
        return ProposalOutcome::Undecided;
    }
    const bool isNamed =
            std::any_of(head.recent.begin(), head.recent.end(),
                        [&](const Acceptance &it) { return it.generation == proposed; });
    return isNamed ? ProposalOutcome::NotAccepted : ProposalOutcome::Forgotten;
}

} // namespace Tarragon
