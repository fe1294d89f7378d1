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

/// The accepted document as its texts.
struct CurrentDocument
{
    Head head;
    SectionTexts texts;
};

/// The wanted text of one section.
struct SectionEdit
{
    /// Nothing removes the section.
    std::optional<std::string> text;
    /// Version that the edit is based on; 0 for a new section.
    SectionVersion basedOn;
};

/// An edit of some sections by a team.
struct DocumentEdit
{
    /// Empty if the token alone tells the team.
    TeamId team;
    std::string token;
    std::map<SectionName, SectionEdit> sections;
    /// Identifies the proposal in the head; unique for each edit and kept over its retries.
    std::string proposalId;
    /// Wall-clock time for the history.
    std::int64_t unixSeconds = 0;
};

/// A section that was changed since the version that its edit is based on.
struct SectionConflict
{
    SectionName section;
    SectionVersion basedOn;
    /// 0 if the section does not exist.
    SectionVersion current;
    std::string currentText;
    std::string proposedText;
    /// Digest of the text that the edit is based on; empty if the head does not name it any more.
    std::string basedOnDigest;
    /// The text that the edit is based on, if it could be read from the store.
    std::optional<std::string> basedOnText;
};

enum class EditStatus {
    /// The next head can be proposed to the store.
    Ready,
    /// The accepted document already has these texts; there is nothing to write.
    Unchanged,
    /// The document would have faults.
    Findings,
    /// The token is not one of the named team.
    UnknownToken,
    /// The team does not own all of the sections.
    NotOwner,
    Conflict,
    /// No document has been accepted yet, so no team has any rights.
    NoDocument,
};

/// What becomes of an edit.
struct EditResult
{
    EditStatus status = EditStatus::Ready;
    /// For people: why the edit was refused. Empty if it was not.
    std::string detail;
    /// The team that edits.
    TeamId team;
    Findings findings;
    std::vector<SectionConflict> conflicts;
    /// The head to propose; the current one if the status is Unchanged.
    Head next;
    /// Texts of all sections of the next head.
    SectionTexts texts;
    /// Objects to write before the head: key and value.
    std::map<std::string, std::string> objects;
    /// The next head's document in parsed form; nothing unless the status is Ready.
    std::optional<Configuration> configuration;
};

/// Decides on an edit against the newest document. When the store reports that another head has
/// been accepted meanwhile, call it again with that one: an edit of other sections does not
/// disturb.
EditResult prepareEdit(const CurrentDocument &current, const DocumentEdit &edit);

/// Makes the first document from all of its sections, without a team. Only for a store that holds
/// no head.
EditResult prepareSeed(const SectionTexts &texts, const std::string &proposalId,
                       std::int64_t unixSeconds);

/// The team that the token belongs to; nothing if there is none.
std::optional<TeamId> findTeam(const AccessRules &access, const std::string &token);

/// What became of a proposal whose answer was lost.
enum class ProposalOutcome {
    /// The head names the proposal: it was accepted.
    Accepted,
    /// The head is still the one the proposal was based on. The write may yet arrive; send the same
    /// conditional update again.
    Undecided,
    /// Another proposal has the generation: this one was not and will not be accepted.
    NotAccepted,
    /// The head has moved on so far that it does not name the generation any more.
    Forgotten,
};

/// Settles a lost answer with a head that was read afterwards. The generation is the one that the
/// proposal would have made.
ProposalOutcome reconcile(const Head &head, const std::string &proposalId, Generation proposed);

} // namespace Tarragon
