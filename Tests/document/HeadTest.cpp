#include "document/Head.h"
#include "base/Error.h"

#include <gmock/gmock.h>
#include <gtest/gtest.h>

namespace Tarragon {
namespace {

Head largestHead()
{
    Head head;
    head.generation = Generation(1'000'000);
    for (int i = 0; i < 68; ++i) {
        std::string name = "services." + std::to_string(i);
        name.resize(std::string("services.").size() + 64, 'x');
        head.sections[SectionName(name)] = { std::string(64, 'a'), SectionVersion(1'000'000) };
    }
    for (std::uint64_t i = 0; i < Head::MaxRecentAcceptances; ++i) {
        head.recent.push_back({ Generation(1'000'000 - i), TeamId(std::string(64, 't')),
                                head.sections, std::string(32, 'p'), 1'700'000'000 });
    }
    return head;
}

// The head must fit into one value of the store (1,000,000 bytes) with the maximum number of
// sections and acceptances and the longest names; otherwise no further edit could be accepted.
TEST(Head, LargestHeadFitsIntoOneValue)
{
    const Head head = largestHead();
    const std::string text = serializeHead(head);
    EXPECT_LE(text.size(), 1'000'000U);
    EXPECT_EQ(parseHead(text), head);
}

TEST(Head, ParseNamesTheKeyAtFault)
{
    const auto errorOf = [](const std::string &text) -> std::string {
        try {
            parseHead(text);
        } catch (const Error &e) {
            return e.what();
        }
        return "no error";
    };
    EXPECT_EQ(errorOf(R"({"generation":-1,"sections":{},"recent":[]})"),
              "head: key \"generation\": found number, expected a whole number from 0");
    EXPECT_EQ(errorOf(R"({"generation":1,"sections":{"stops":{"digest":"a"}},"recent":[]})"),
              "head: key \"version\": found nothing, expected a value");
    EXPECT_EQ(errorOf(R"({"generation":1,"sections":[],"recent":[]})"),
              "head: key \"sections\": found array, expected an object");
    EXPECT_THAT(errorOf("{"), testing::StartsWith("head: found text that is not JSON"));
    EXPECT_EQ(errorOf("[]"), "head: found array, expected an object");
}

} // namespace
} // namespace Tarragon
