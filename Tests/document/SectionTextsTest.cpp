#include "document/DocumentParser.h"
#include "document/TextFile.h"

#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include <random>
#include <string_view>

namespace Tarragon {
namespace {

// Operators show a document, edit it and apply it. Joining and splitting must not change the texts,
// or unedited sections would appear as changed.
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

// A document that was damaged by an editor or in transfer must either be reported as faulty, or be
// split into sections that are the same after joining and splitting again.
TEST(SectionTexts, DamagedDocumentIsReportedOrSplitsStably)
{
    const std::string whole = readTextFile(TARRAGON_TEST_DATA "/base.yaml");
    std::mt19937 random(11);
    for (int round = 0; round < 1'000; ++round) {
        std::string text = whole;
        for (std::size_t n = 1 + random() % 3; n > 0; --n) {
            static constexpr std::string_view Marks = ":{}[]#-&*!|>'\"%@`,? \n\r\t\x80";
            const std::size_t at = random() % text.size();
            switch (random() % 3) {
            case 0:
                text.erase(at, 1 + random() % 20);
                break;
            case 1:
                text.insert(at, 1, Marks[random() % Marks.size()]);
                break;
            default:
                text[at] = Marks[random() % Marks.size()];
            }
        }
        Findings findings;
        const SectionTexts sections = splitDocument(text, "", findings);
        if (findings.empty() && parseDocument(sections, "", findings)) {
            EXPECT_EQ(splitDocument(joinDocument(sections), "", findings), sections) << text;
            EXPECT_THAT(findings, testing::IsEmpty());
        }
    }
}

// A section above the limit of the store must be reported when the document is checked; otherwise
// the write to the store would fail for a document that passed the check.
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
