#include "entry/EditSession.h"

#include "StandIns/platform/StandInStore.h"
#include "Support/LoopTest.h"
#include "base/Digest.h"
#include "document/DocumentParser.h"
#include "document/TextFile.h"

#include <gtest/gtest.h>

#include <memory>
#include <optional>

namespace Tarragon {
namespace {

const char *const StopOfFirst = "- { kind: target, id: catalog-01, deadline: 60s, reason: one }\n";
const char *const StopOfSecond = "- { kind: target, id: catalog-02, deadline: 60s, reason: two }\n";

/// Edits the Kinisi document in the object store of the platform stand-in, with injected faults.
class EditSessionTest : public LoopTest
{
protected:
    EditSessionTest()
    {
        Findings findings;
        m_texts = splitDocument(readTextFile(std::string(TARRAGON_SOURCE_DIR)
                                             + "/Deployments/kinisi/document.yaml"),
                                "document.yaml", findings);
        EXPECT_TRUE(findings.empty());
        const EditOutcome seeded =
                run([this](const CurrentDocument &) { return prepareSeed(m_texts, "seed", 0); });
        EXPECT_EQ(seeded.result.status, EditStatus::Ready);
    }

    struct Running
    {
        std::optional<EditOutcome> outcome;
    };

    std::shared_ptr<Running> begin(EditSession::Prepare prepare,
                                   const std::string &proposalId = "seed")
    {
        std::shared_ptr<Running> running = std::make_shared<Running>();
        std::make_shared<EditSession>(
                m_loop, m_store, m_texts, std::move(prepare), proposalId,
                [running](const EditOutcome &outcome) { running->outcome = outcome; })
                ->start();
        return running;
    }

    EditOutcome run(EditSession::Prepare prepare)
    {
        const std::shared_ptr<Running> running = begin(std::move(prepare));
        runUntil([&running] { return running->outcome.has_value(); });
        return running->outcome.value_or(EditOutcome{});
    }

    static EditSession::Prepare edit(const std::string &section, const std::string &text,
                                     const std::string &token, const std::string &proposalId)
    {
        DocumentEdit edit;
        edit.token = token;
        edit.proposalId = proposalId;
        SectionEdit change;
        change.text = text;
        change.basedOn = SectionVersion(1);
        edit.sections[SectionName(section)] = change;
        return [edit](const CurrentDocument &current) { return prepareEdit(current, edit); };
    }

    std::shared_ptr<Running> beginStops(const std::string &text, const std::string &proposalId)
    {
        return begin(edit("stops", text, "kinisi-operations-demo", proposalId), proposalId);
    }

    Head storedHead()
    {
        std::optional<StoredObject> object;
        m_store.get(HeadKey, [&object](const StoredObject &value) { object = value; });
        runUntil([&object] { return object.has_value(); });
        return parseHead(object->value);
    }

    StandInStore m_standIn{ m_loop, "127.0.0.1", 0, 0 };
    HttpClient m_client{ m_loop };
    ObjectStoreClient m_store{ m_loop, m_client, "127.0.0.1", m_standIn.port(),
                               milliseconds(5'000) };
    SectionTexts m_texts;
};

// If results of the store are lost after the writes took effect, the session must still report that
// the edit was accepted, and the edit must be accepted only once.
TEST_F(EditSessionTest, DeterminesLostWriteResultsByReadingBack)
{
    m_standIn.control({ { "loseAnswers", 2 } });
    const std::shared_ptr<Running> running = beginStops(StopOfFirst, "p1");
    runUntil([&running] { return running->outcome.has_value(); });
    EXPECT_FALSE(running->outcome->isStoreUnavailable);
    EXPECT_EQ(running->outcome->result.status, EditStatus::Ready);
    const Head head = storedHead();
    EXPECT_EQ(head.generation, Generation(2));
    EXPECT_EQ(head.recent.front().proposalId, "p1");
}

// Of two concurrent edits of one section based on the same version, one must be accepted. The other
// must get a conflict that contains both the text now in force and its own text.
TEST_F(EditSessionTest, OneOfTwoEditsOfASectionConflictsAndKeepsItsText)
{
    const std::shared_ptr<Running> first = beginStops(StopOfFirst, "p1");
    const std::shared_ptr<Running> second = beginStops(StopOfSecond, "p2");
    runUntil([&] { return first->outcome.has_value() && second->outcome.has_value(); });
    const bool firstWon = first->outcome->result.status == EditStatus::Ready;
    const EditResult &refused = firstWon ? second->outcome->result : first->outcome->result;
    const EditResult &accepted = firstWon ? first->outcome->result : second->outcome->result;
    EXPECT_EQ(accepted.status, EditStatus::Ready);
    ASSERT_EQ(refused.status, EditStatus::Conflict);
    ASSERT_EQ(refused.conflicts.size(), 1U);
    EXPECT_EQ(refused.conflicts[0].currentText, firstWon ? StopOfFirst : StopOfSecond);
    EXPECT_EQ(refused.conflicts[0].proposedText, firstWon ? StopOfSecond : StopOfFirst);
    EXPECT_EQ(storedHead().generation, Generation(2));
}

// Concurrent edits of different sections must not conflict.
TEST_F(EditSessionTest, EditsOfDifferentSectionsAreBothAccepted)
{
    std::string catalog = m_texts.at(SectionName("services.catalog"));
    const std::string found = "queuePerTarget: 2";
    catalog.replace(catalog.find(found), found.size(), "queuePerTarget: 3");
    const std::shared_ptr<Running> first = beginStops(StopOfFirst, "p1");
    const std::shared_ptr<Running> second =
            begin(edit("services.catalog", catalog, "kinisi-parts-demo", "p2"), "p2");
    runUntil([&] { return first->outcome.has_value() && second->outcome.has_value(); });
    EXPECT_EQ(first->outcome->result.status, EditStatus::Ready);
    EXPECT_EQ(second->outcome->result.status, EditStatus::Ready);
    const Head head = storedHead();
    EXPECT_EQ(head.generation, Generation(3));
    EXPECT_EQ(head.sections.at(SectionName("stops")).version, SectionVersion(2));
    EXPECT_EQ(head.sections.at(SectionName("services.catalog")).version, SectionVersion(2));
}

// During an outage of the store the session must report that the edit was not accepted, and the
// store must not accept it later.
TEST_F(EditSessionTest, ReportsThatNothingWasWrittenDuringAnOutage)
{
    m_standIn.control({ { "outage", true } });
    const std::shared_ptr<Running> running = beginStops(StopOfFirst, "p1");
    runUntil([&running] { return running->outcome.has_value(); });
    EXPECT_TRUE(running->outcome->isStoreUnavailable);
    EXPECT_FALSE(running->outcome->mayBeAccepted);
    m_standIn.control({ { "outage", false } });
    runFor(milliseconds(1));
    EXPECT_EQ(storedHead().generation, Generation(1));
}

} // namespace
} // namespace Tarragon
