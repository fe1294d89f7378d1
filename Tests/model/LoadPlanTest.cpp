#include "model/LoadPlan.h"

#include <gtest/gtest.h>

namespace Tarragon {
namespace {

const std::string Valid = R"(name: small
duration: 5s
failureDomains:
  - { name: d1, region: r1, entries: 2 }
services:
  - { name: one, targets: { d1: 3 }, slots: 2, queue: 4, remembered: 10, knownWork: 0.3 }
routes:
  - { name: read, service: one, perSecond: 10, work: 50ms, goal: 100ms, deadline: 1s, objects: 5 }
troubles:
  - { kind: slow, at: 2s, duration: 1s, service: one, share: 0.5, factor: 4 }
)";

// Guards against load files whose values are read wrongly.
TEST(LoadPlanTest, ReadsALoad)
{
    Findings findings;
    const std::optional<LoadPlan> plan = parseLoadPlan(Valid, "small.yaml", findings);
    ASSERT_TRUE(plan.has_value()) << toString(findings.at(0));
    EXPECT_EQ(plan->duration, seconds(5));
    EXPECT_EQ(plan->domains.at(0).entries, 2);
    EXPECT_EQ(plan->services.at(ServiceId("one")).targets.at(FailureDomainId("d1")), 3);
    EXPECT_EQ(plan->services.at(ServiceId("one")).remembered, 10);
    EXPECT_EQ(plan->routes.at(0).goal, milliseconds(100));
    EXPECT_EQ(plan->faults.at(0).kind, FaultKind::Slow);
    EXPECT_DOUBLE_EQ(plan->faults.at(0).factor, 4);
}

// Guards against invalid load files that are accepted, or reported without file and line.
TEST(LoadPlanTest, ErrorsAreReportedWithFileAndLine)
{
    const std::vector<std::pair<std::string, std::string>> errors = {
        { "{ d1: 3 }", "{ d2: 3 }" },
        { "service: one, perSecond", "service: two, perSecond" },
        { "kind: slow", "kind: odd" },
        { "perSecond: 10", "perSecond: many" },
        { "duration: 5s", "durration: 5s" },
        { "work: 50ms, ", "" },
    };
    for (const auto &[from, to] : errors) {
        std::string text = Valid;
        text.replace(text.find(from), from.size(), to);
        Findings findings;
        EXPECT_FALSE(parseLoadPlan(text, "small.yaml", findings).has_value()) << to;
        ASSERT_FALSE(findings.empty()) << to;
        EXPECT_EQ(findings[0].file, "small.yaml");
        EXPECT_GT(findings[0].line, 0) << to;
    }
}

} // namespace
} // namespace Tarragon
