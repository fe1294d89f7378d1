#include "document/DocumentParser.h"
#include "document/TextFile.h"

#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include <filesystem>

namespace Tarragon {
namespace {

const std::filesystem::path dataFolder(TARRAGON_TEST_DATA);

std::vector<std::string> faultNames()
{
    std::vector<std::string> names;
    for (const auto &it : std::filesystem::directory_iterator(dataFolder / "Faults")) {
        names.push_back(it.path().filename());
    }
    std::sort(names.begin(), names.end());
    return names;
}

class FaultsTest : public testing::TestWithParam<std::string>
{};

// Every fault must be reported with its line: an unreported fault would let an invalid document be
// accepted, and a wrong line would mislead the operator. The sections of each input replace those
// of base.yaml.
TEST_P(FaultsTest, ReportsAllFaultsOfTheInput)
{
    const std::filesystem::path folder = dataFolder / "Faults" / GetParam();
    Findings findings;
    SectionTexts sections = splitDocument(readTextFile(dataFolder / "base.yaml"), "", findings);
    ASSERT_THAT(findings, testing::IsEmpty());
    SectionOrigins origins;
    for (const auto &[name, text] :
         splitDocument(readTextFile(folder / "input.yaml"), "input.yaml", findings, &origins)) {
        sections[name] = text;
    }
    EXPECT_FALSE(parseSplitDocument(sections, origins, findings));
    std::string text;
    for (const Finding &it : findings) {
        text += toString(it) + "\n";
    }
    EXPECT_EQ(text, readTextFile(folder / "findings.txt"));
}

INSTANTIATE_TEST_SUITE_P(All, FaultsTest, testing::ValuesIn(faultNames()), [](const auto &info) {
    std::string name = info.param;
    std::replace(name.begin(), name.end(), '-', '_');
    return name;
});

} // namespace
} // namespace Tarragon
