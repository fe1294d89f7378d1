#include "document/EditableText.h"
#include "document/TextFile.h"

#include <gmock/gmock.h>
#include <gtest/gtest.h>

namespace Tarragon {
namespace {

class EditableTextTest : public testing::Test
{
protected:
    EditableTextTest()
    {
        Findings findings;
        const EditResult seed = prepareSeed(
                splitDocument(readTextFile(TARRAGON_TEST_DATA "/base.yaml"), "", findings), "seed",
                0);
        m_document = { seed.next, seed.texts };
    }

    static EditableSection readBack(const std::string &text, const std::string &name,
                                    SectionOrigin &origin)
    {
        Findings findings;
        SectionOrigins origins;
        const SectionTexts sections = splitDocument(text, "file", findings, &origins);
        EXPECT_THAT(findings, testing::IsEmpty());
        origin = origins.at(SectionName(name));
        return takeVersionLine(SectionName(name), sections.at(SectionName(name)), origin);
    }

    CurrentDocument m_document;
};

// A section that the operator did not edit must not be applied, as it may have changed in the store
// since the text was written.
TEST_F(EditableTextTest, UnchangedSectionIsNotEdited)
{
    const SectionName stops("stops");
    m_document.texts[stops] = "\n\n- { kind: region, id: north, deadline: 5s }  \n   \n\n";
    const std::string text = formatEditable(m_document, { stops, SectionName("services.parts") });
    for (const char *it : { "stops", "services.parts" }) {
        SectionOrigin origin;
        const EditableSection section = readBack(text, it, origin);
        EXPECT_FALSE(section.isEdited);
        EXPECT_EQ(section.basedOn, SectionVersion(1));
        EXPECT_THAT(section.text, testing::Not(testing::HasSubstr("tarragonctl")));
    }
}

TEST_F(EditableTextTest, EditedSectionKeepsItsVersionAndLines)
{
    std::string text = formatEditable(m_document, { SectionName("shifts") });
    text += "  # more\n";
    SectionOrigin origin;
    const EditableSection section = readBack(text, "shifts", origin);
    EXPECT_TRUE(section.isEdited);
    EXPECT_EQ(section.basedOn, SectionVersion(1));
    EXPECT_THAT(origin.lines, testing::ElementsAre(3, 4));
}

// A version line that was copied from another section is ignored.
TEST_F(EditableTextTest, VersionLineOfAnotherSectionGivesNoVersion)
{
    SectionOrigin origin;
    const EditableSection section = readBack(
            "shifts:\n  # tarragonctl: version 9 of stops, sha256 00\n  []\n", "shifts", origin);
    EXPECT_EQ(section.basedOn, std::nullopt);
    EXPECT_EQ(section.text, "[]\n");
}

} // namespace
} // namespace Tarragon
