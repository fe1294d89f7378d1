#pragma once

#include "document/Configuration.h"
#include "document/Finding.h"
#include "document/Head.h"
#include "document/SectionTexts.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace Tarragon {

/// The accepted document: its head and the texts of its sections.
struct CurrentDocument
{
    Head head;
    SectionTexts texts;
};

/// The new text of one section.
struct SectionEdit
{
    /// New text; if absent, the edit removes the section.
    std::optional<std::string> text;
    /// Version that the edit is based on; 0 for a new section.
    SectionVersion basedOn;
};

/// An edit of one or more sections by a team.
struct DocumentEdit
{
    /// Team that the token must belong to; if empty, the token alone identifies the team.
    TeamId team;
    std::string token;
    std::map<SectionName, SectionEdit> sections;
    /// Identifies the edit in the head's recent acceptances. Unique for each edit; its retries use
    /// the same id.
    std::string proposalId;
    /// Wall-clock time in seconds since 1970, shown in the history.
    std::int64_t unixSeconds = 0;
};

/// A section that has changed since the version that the edit is based on.
struct SectionConflict
{
    SectionName section;
    SectionVersion basedOn;
    /// 0 if the section does not exist.
    SectionVersion current;
    std::string currentText;
    std::string proposedText;
    /// Digest of the text that the edit is based on; empty if that version is no longer among the
    /// head's recent acceptances.
    std::string basedOnDigest;
    /// The text that the edit is based on, if it could be read from the store.
    std::optional<std::string> basedOnText;
};

enum class EditStatus {
    /// The next head can be proposed to the store.
    Ready,
    /// The accepted document already has these texts, so nothing is written.
    Unchanged,
    /// The document with the edit applied has faults, listed in the findings.
    Findings,
    /// The token belongs to no team, or not to the named team.
    UnknownToken,
    /// The team does not own all of the sections that the edit changes.
    NotOwner,
    /// A section has changed since the version that the edit is based on.
    Conflict,
    /// No document has been accepted yet, so no team owns any section.
    NoDocument,
};

/// Result of checking an edit against the accepted document.
struct EditResult
{
    EditStatus status = EditStatus::Ready;
    /// Why the edit was refused, for the operator. Empty if the edit was not refused.
    std::string detail;
    /// Team that the token belongs to.
    TeamId team;
    Findings findings;
    std::vector<SectionConflict> conflicts;
    /// The head to propose; the current one if the status is Unchanged.
    Head next;
    /// Texts of all sections of the next head.
    SectionTexts texts;
    /// Store objects, by key, that must be written before the head refers to them.
    std::map<std::string, std::string> objects;
    /// The next head's document in parsed form; set only if the status is Ready.
    std::optional<Configuration> configuration;
};

/// Checks an edit against the current document and builds the next head. If the conditional write
/// of that head fails because another head was accepted in the meantime, call this function again
/// with the new head: the edit conflicts only if the other edit changed the same sections.
EditResult prepareEdit(const CurrentDocument &current, const DocumentEdit &edit);

/// Builds the first head from the texts of all sections, without checking a token or owners. Only
/// for a store that has no head yet.
EditResult prepareSeed(const SectionTexts &texts, const std::string &proposalId,
                       std::int64_t unixSeconds);

/// Returns the team that the token belongs to, or nothing if the token is unknown.
std::optional<TeamId> findTeam(const AccessRules &access, const std::string &token);

/// State of a proposed head when the reply of the store to its write was lost.
enum class ProposalOutcome {
    /// The head lists the proposal among its recent acceptances.
    Accepted,
    /// The head is still older than the proposal. The write may still reach the store, so send the
    /// same conditional update again.
    Undecided,
    /// Another proposal was accepted with the same generation, so this one cannot be accepted any
    /// more.
    NotAccepted,
    /// Unknown: the generation is older than the recent acceptances that the head lists.
    Forgotten,
};

/// Determines the outcome of a proposal whose store reply was lost, from a head that was read
/// afterwards. `proposed` is the generation that the document has if the proposal was accepted.
ProposalOutcome reconcile(const Head &head, const std::string &proposalId, Generation proposed);

} // namespace Tarragon
