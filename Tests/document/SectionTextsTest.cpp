#include "document/DocumentParser.h"
#include "document/TextFile.h"

#include <gmock/gmock.h>
#include <gtest/gtest.h>

namespace Tarragon {
namespace {

// Operators show, edit and apply; text that changes on the way would be a difference on its own.
TEST(SectionTexts, JoinedDocumentSplitsIntoTheSameTexts)
{
    Findings findings;
    const std::string text = "# Who may do what.\n"
                             "access: # here\n"
                             "    teams:\n"
                             "        # first\n"
                             "        a: {}\n"
                             "\n"
                             "        b: >\n"
                             "            folded\n"
                             "              more\n"
                             "services:\n"
                             "  # Part lookups.\n"
                             "  parts: { targets: [\n"
                             "    1, 2 ] }\n"
                             "  'media':\n"
                             "    targets: []\n"
                             "\n"
                             "# None planned.\n"
                             "stops: [] # yet\n";
    const SectionTexts sections = splitDocument(text, "", findings);
    ASSERT_THAT(findings, testing::IsEmpty());
    EXPECT_EQ(sections.at(SectionName("access")),
              "# Who may do what.\n# here\nteams:\n    # first\n    a: {}\n\n    b: >\n"
              "        folded\n          more\n");
    EXPECT_EQ(sections.at(SectionName("services.parts")),
              "# Part lookups.\n{ targets: [\n1, 2 ] }\n");
    EXPECT_EQ(sections.at(SectionName("services.media")), "targets: []\n");
    EXPECT_EQ(sections.at(SectionName("stops")), "# None planned.\n[] # yet\n");
    EXPECT_EQ(splitDocument(joinDocument(sections), "", findings), sections);
    EXPECT_THAT(findings, testing::IsEmpty());
}

TEST(SectionTexts, MissingAndUnknownSectionsAreReported)
{
    Findings findings;
    EXPECT_FALSE(parseDocument({ { SectionName("stop"), "" } }, "", findings));
    std::vector<std::string> lines;
    for (const Finding &it : findings) {
        lines.push_back(toString(it));
    }
    EXPECT_THAT(lines,
                testing::ElementsAre("access: found nothing, expected the section access",
                                     "topology: found nothing, expected the section topology",
                                     "services: found 0 services, expected 1 to 64 services",
                                     "shifts: found nothing, expected the section shifts",
                                     "stops: found nothing, expected the section stops",
                                     "stop: found an unknown section, expected access, topology, "
                                     "services.<name>, shifts or stops"));
}

// The store would refuse the value only after the operator was told that the document is right.
TEST(SectionTexts, SectionAboveTheStoresLimitIsReported)
{
    Findings findings;
    SectionTexts sections =
            splitDocument(readTextFile(TARRAGON_TEST_DATA "/base.yaml"), "", findings);
    std::string &text = sections[SectionName("stops")];
    text += "# " + std::string(MaxSectionBytes - text.size() - 3, 'x') + "\n";
    EXPECT_TRUE(parseDocument(sections, "", findings));
    text += "\n";
    EXPECT_FALSE(parseDocument(sections, "", findings));
    ASSERT_THAT(findings, testing::SizeIs(1));
    EXPECT_EQ(toString(findings[0]), "stops: found 1000001 bytes, expected at most 1000000 bytes");
}

} // namespace
} // namespace Tarragon
