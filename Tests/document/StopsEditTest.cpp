#include "document/StopsEdit.h"
#include "base/Error.h"

#include <gtest/gtest.h>

namespace Tarragon {
namespace {

PlannedStop targetStop(const std::string &id)
{
    return { StopKind::Target, id, seconds(90), "new \"board\"" };
}

const std::string addedLine =
        "- { kind: target, id: \"t-3\", deadline: 90s, reason: \"new \\\"board\\\"\" }\n";

// Adding or removing a stop must not change other teams' stops or their comments.
TEST(StopsEdit, AddsAndRemovesOneStopAndKeepsTheRest)
{
    const std::string text = "# Maintenance.\n"
                             "  - kind: target\n"
                             "    id: t-1 # fan\n"
                             "    deadline: 1min\n"
                             "  # The second one.\n"
                             "  - { kind: region, id: north, deadline: 5s }\n";
    const std::string with = withStop(text, targetStop("t-3"));
    EXPECT_EQ(with, text + "  " + addedLine);
    EXPECT_EQ(withoutStop(with, StopKind::Target, "t-3"), text);
    EXPECT_EQ(withoutStop(text, StopKind::Target, "t-1"),
              "# Maintenance.\n  # The second one.\n  - { kind: region, id: north, deadline: 5s "
              "}\n");
    EXPECT_EQ(withoutStop(text, StopKind::Target, "north"), std::nullopt);
}

TEST(StopsEdit, HandlesEmptyAndFlowLists)
{
    EXPECT_EQ(withStop("", targetStop("t-3")), addedLine);
    EXPECT_EQ(withStop("# None.\n[]\n", targetStop("t-3")), "# None.\n" + addedLine);
    EXPECT_EQ(withStop("[{ kind: region, id: north, deadline: 5s }]\n", targetStop("t-3")),
              "- { kind: region, id: \"north\", deadline: 5s }\n" + addedLine);
    EXPECT_EQ(withoutStop(addedLine, StopKind::Target, "t-3"), "[]\n");
}

TEST(StopsEdit, ReplacesAStopOfTheSameKindAndId)
{
    EXPECT_EQ(withStop("- { kind: target, id: t-3, deadline: 5s }\n", targetStop("t-3")),
              addedLine);
}

TEST(StopsEdit, ThrowsForInvalidText)
{
    EXPECT_THROW(withStop("- { kind: rack }\n", targetStop("t-3")), Error);
}

} // namespace
} // namespace Tarragon
