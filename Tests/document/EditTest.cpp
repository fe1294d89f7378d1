#include "base/Digest.h"
#include "document/DocumentEdit.h"
#include "document/DocumentParser.h"
#include "document/TextFile.h"

#include <gmock/gmock.h>
#include <gtest/gtest.h>

namespace Tarragon {
namespace {

using testing::ElementsAre;
using testing::IsEmpty;
using testing::Pair;
using testing::SizeIs;

const SectionName partsSection("services.parts");
const SectionName stopsSection("stops");

/// The document of base.yaml, accepted as generation 1. Team "platform" has the token "p", team
/// "parts" the token "q".
class EditTest : public testing::Test
{
protected:
    EditTest()
    {
        Findings findings;
        SectionTexts texts =
                splitDocument(readTextFile(TARRAGON_TEST_DATA "/base.yaml"), "", findings);
        std::string &access = texts[SectionName("access")];
        replace(access, std::string(64, '1'), sha256Hex("p"));
        replace(access, std::string(64, '2'), sha256Hex("q"));
        m_current = accept(prepareSeed(texts, "seed", 1'000));
    }

    static void replace(std::string &text, const std::string &from, const std::string &to)
    {
        const std::size_t n = text.find(from);
        ASSERT_NE(n, std::string::npos);
        text.replace(n, from.size(), to);
    }

    static CurrentDocument accept(const EditResult &result)
    {
        EXPECT_EQ(result.status, EditStatus::Ready) << result.detail;
        for (const Finding &it : result.findings) {
            ADD_FAILURE() << toString(it);
        }
        return { result.next, result.texts };
    }

    /// Returns an edit of the parts service by its team that sets the slots of a target.
    DocumentEdit partsEdit(int slots, SectionVersion basedOn) const
    {
        std::string text = m_current.texts.at(partsSection);
        replace(text, "slots: 6", "slots: " + std::to_string(slots));
        return edit("q", partsSection, text, basedOn);
    }

    static DocumentEdit edit(const std::string &token, const SectionName &section,
                             const std::optional<std::string> &text, SectionVersion basedOn)
    {
        DocumentEdit edit;
        edit.token = token;
        edit.sections[section] = { text, basedOn };
        edit.proposalId = "proposal";
        edit.unixSeconds = 2'000;
        return edit;
    }

    CurrentDocument m_current;
};

TEST_F(EditTest, AcceptedEditMakesTheNextHead)
{
    const EditResult result = prepareEdit(m_current, partsEdit(7, SectionVersion(1)));
    const CurrentDocument next = accept(result);
    const std::string digest = sha256Hex(next.texts.at(partsSection));
    EXPECT_EQ(next.head.generation, Generation(2));
    EXPECT_EQ(next.head.sections.at(partsSection), (SectionReference{ digest, SectionVersion(2) }));
    EXPECT_EQ(next.head.sections.at(stopsSection).version, SectionVersion(1));
    EXPECT_THAT(result.objects, ElementsAre(Pair("config/section/services.parts/" + digest,
                                                 next.texts.at(partsSection))));
    ASSERT_THAT(next.head.recent, SizeIs(2));
    EXPECT_EQ(next.head.recent.front().team, TeamId("parts"));
    EXPECT_EQ(next.head.recent.front().proposalId, "proposal");
    ASSERT_TRUE(result.configuration);
    EXPECT_EQ(result.configuration->generation, Generation(2));
    EXPECT_EQ(result.configuration->services.at(ServiceId("parts")).targets[0].slots.value, 7);
}

TEST_F(EditTest, EditWithoutTheRightTokenIsRefused)
{
    DocumentEdit wrong = partsEdit(7, SectionVersion(1));
    wrong.token = "r";
    EXPECT_EQ(prepareEdit(m_current, wrong).status, EditStatus::UnknownToken);
    wrong.token = "";
    EXPECT_EQ(prepareEdit(m_current, wrong).status, EditStatus::UnknownToken);
    wrong.token = "q";
    wrong.team = TeamId("platform");
    EXPECT_EQ(prepareEdit(m_current, wrong).status, EditStatus::UnknownToken);
}

// A team must not change sections of other teams nor add a section: only the owner of "access" may
// add one.
TEST_F(EditTest, TeamEditsOnlySectionsItOwns)
{
    EXPECT_EQ(prepareEdit(m_current, edit("q", stopsSection, "[]", SectionVersion(1))).status,
              EditStatus::NotOwner);
    EXPECT_EQ(prepareEdit(m_current, edit("p", partsSection, "{}", SectionVersion(1))).status,
              EditStatus::NotOwner);
    EXPECT_EQ(
            prepareEdit(m_current, edit("q", SectionName("services.new"), "{}", SectionVersion(0)))
                    .status,
            EditStatus::NotOwner);
}

// An operator may apply the complete document after editing only the section of the own team.
TEST_F(EditTest, UnchangedSectionsNeedNoOwner)
{
    DocumentEdit whole = partsEdit(7, SectionVersion(1));
    whole.sections[stopsSection] = { m_current.texts.at(stopsSection), SectionVersion(1) };
    const CurrentDocument next = accept(prepareEdit(m_current, whole));
    EXPECT_EQ(next.head.sections.at(stopsSection).version, SectionVersion(1));
}

TEST_F(EditTest, OwnerOfAccessAddsAndRemovesAService)
{
    const SectionName fresh("services.fresh");
    const SectionName accessName("access");
    std::string access = m_current.texts.at(accessName);
    replace(access, "services.parts: parts", "services.parts: parts, services.fresh: parts");
    std::string text = m_current.texts.at(partsSection);
    replace(text, "id: parts-1", "id: fresh-1");
    replace(text, "id: parts-2", "id: fresh-2");
    replace(text, "127.0.3.1:7080", "127.0.4.1:7080");
    replace(text, "127.0.3.2:7080", "127.0.4.2:7080");
    DocumentEdit added = edit("p", fresh, text, SectionVersion(0));
    EXPECT_EQ(prepareEdit(m_current, added).status, EditStatus::Findings);
    added.sections[accessName] = { access, SectionVersion(1) };
    const CurrentDocument with = accept(prepareEdit(m_current, added));
    EXPECT_EQ(with.head.sections.at(fresh).version, SectionVersion(2));

    DocumentEdit removed = edit("p", fresh, std::nullopt, SectionVersion(2));
    removed.sections[accessName] = { m_current.texts.at(accessName), SectionVersion(2) };
    const CurrentDocument without = accept(prepareEdit(with, removed));
    EXPECT_FALSE(without.head.sections.contains(fresh));

    // The section added again must not reuse a version: if one version identified two texts, a
    // conflict would go unnoticed.
    added.sections[accessName].basedOn = SectionVersion(3);
    EXPECT_EQ(accept(prepareEdit(without, added)).head.sections.at(fresh).version,
              SectionVersion(4));
}

// Of two edits based on the same version of a section, the second must not overwrite the first.
TEST_F(EditTest, EditOfAnOlderVersionIsAConflictWithBothTexts)
{
    const DocumentEdit first = partsEdit(7, SectionVersion(1));
    const DocumentEdit second = partsEdit(8, SectionVersion(1));
    const std::string oldText = m_current.texts.at(partsSection);
    m_current = accept(prepareEdit(m_current, first));
    const EditResult result = prepareEdit(m_current, second);
    ASSERT_EQ(result.status, EditStatus::Conflict);
    ASSERT_THAT(result.conflicts, SizeIs(1));
    const SectionConflict &conflict = result.conflicts.front();
    EXPECT_EQ(conflict.current, SectionVersion(2));
    EXPECT_EQ(conflict.currentText, *first.sections.at(partsSection).text);
    EXPECT_EQ(conflict.proposedText, *second.sections.at(partsSection).text);
    EXPECT_EQ(conflict.basedOnDigest, sha256Hex(oldText));
}

TEST_F(EditTest, EditsOfDifferentSectionsDoNotConflict)
{
    const DocumentEdit parts = partsEdit(7, SectionVersion(1));
    const CurrentDocument other = accept(prepareEdit(
            m_current, edit("p", stopsSection, "- { kind: region, id: north, deadline: 5s }\n",
                            SectionVersion(1))));
    const CurrentDocument both = accept(prepareEdit(other, parts));
    EXPECT_EQ(both.head.generation, Generation(3));
    EXPECT_NE(both.texts.at(stopsSection), m_current.texts.at(stopsSection));
}

// The document is validated with the edit applied, as two edits of different sections that are
// valid on their own can contradict each other. Here a planned stop names a target that the edit
// removes.
TEST_F(EditTest, EditThatBreaksAnotherSectionHasFindings)
{
    m_current = accept(prepareEdit(
            m_current, edit("p", stopsSection, "- { kind: target, id: parts-1, deadline: 5s }\n",
                            SectionVersion(1))));
    std::string text = m_current.texts.at(partsSection);
    replace(text, "id: parts-1", "id: parts-9");
    const EditResult result =
            prepareEdit(m_current, edit("q", partsSection, text, SectionVersion(1)));
    EXPECT_EQ(result.status, EditStatus::Findings);
    ASSERT_THAT(result.findings, SizeIs(1));
    EXPECT_EQ(result.findings[0].section, "stops");
    EXPECT_THAT(result.objects, IsEmpty());
}

// An apply that is repeated because the response was lost must neither fail nor be accepted twice.
TEST_F(EditTest, RepeatedEditIsUnchanged)
{
    const DocumentEdit parts = partsEdit(7, SectionVersion(1));
    m_current = accept(prepareEdit(m_current, parts));
    const EditResult result = prepareEdit(m_current, parts);
    EXPECT_EQ(result.status, EditStatus::Unchanged);
    EXPECT_EQ(result.next, m_current.head);
}

TEST_F(EditTest, StoreWithoutDocumentAcceptsNoEdit)
{
    EXPECT_EQ(prepareEdit(CurrentDocument(), partsEdit(7, SectionVersion(0))).status,
              EditStatus::NoDocument);
}

// If the reply of the store is lost, the head decides whether the edit was accepted: assuming a
// refusal would apply the edit twice, assuming acceptance would lose the edit.
TEST_F(EditTest, OutcomeAfterALostReplyFollowsFromTheHead)
{
    const Head before = m_current.head;
    const Generation proposed = before.generation.next();
    DocumentEdit proposal = partsEdit(7, SectionVersion(1));
    proposal.proposalId = "mine";
    EXPECT_EQ(reconcile(before, "mine", proposed), ProposalOutcome::Undecided);
    const Head accepted = accept(prepareEdit(m_current, proposal)).head;
    EXPECT_EQ(reconcile(accepted, "mine", proposed), ProposalOutcome::Accepted);

    CurrentDocument other = accept(prepareEdit(m_current, partsEdit(8, SectionVersion(1))));
    EXPECT_EQ(reconcile(other.head, "mine", proposed), ProposalOutcome::NotAccepted);
    for (std::size_t i = 0; i < Head::MaxRecentAcceptances; ++i) {
        const SectionVersion version = other.head.sections.at(partsSection).version;
        other = accept(prepareEdit(other, partsEdit(i % 2 == 0 ? 9 : 10, version)));
    }
    EXPECT_THAT(other.head.recent, SizeIs(Head::MaxRecentAcceptances));
    EXPECT_EQ(reconcile(other.head, "mine", proposed), ProposalOutcome::Forgotten);
}

} // namespace
} // namespace Tarragon
