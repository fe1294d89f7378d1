#include "steering/Plan.h"

#include "SteeringFixture.h"
#include "base/Error.h"

#include <gmock/gmock.h>
#include <gtest/gtest.h>

namespace Tarragon {
namespace {

using Testing::row;

Plan samplePlan()
{
    Plan plan;
    plan.version = PlanVersion(7);
    plan.generation = Generation(3);
    plan.maker = InstanceId("a-1-0");
    plan.weights[ServiceId("catalog")][RegionId("a")] = row(600'000, 400'000, 0);
    plan.failover[RegionId("a")][ServiceId("catalog")][RegionId("a")] = row(0, 500'000, 300'000);
    return plan;
}

TEST(Plan, ParsesWhatItSerializes)
{
    EXPECT_EQ(parsePlan(serializePlan(samplePlan())), samplePlan());
}

// A faulty plan that is accepted would be applied by every entry.
TEST(Plan, RejectsFaultyPlansAndNamesTheKey)
{
    struct Case
    {
        std::string json;
        std::string message;
    };
    const std::vector<Case> cases = {
        { "[", "not JSON" },
        { "[]", "plan" },
        { R"({"version":0,"generation":1,"maker":"x","weights":{},"failover":{}})", "version" },
        { R"({"version":1,"generation":-1,"maker":"x","weights":{},"failover":{}})", "generation" },
        { R"({"version":1,"generation":1,"maker":"","weights":{},"failover":{}})", "maker" },
        { R"({"version":1,"generation":1,"maker":"x","failover":{}})", "weights" },
        { R"({"version":1,"generation":1,"maker":"x","weights":{},"failover":{},"more":1})",
          "more" },
        { R"({"version":1,"generation":1,"maker":"x","weights":{"s":{"a":{"a":999999}}},)"
          R"("failover":{}})",
          "weights.s.a" },
        { R"({"version":1,"generation":1,"maker":"x","weights":{"s":{"a":{"a":-1}}},)"
          R"("failover":{}})",
          "weights.s.a.a" },
        { R"({"version":1,"generation":1,"maker":"x","weights":{},)"
          R"("failover":{"a":{"s":{"a":{"a":1}}}}})",
          "failover.a.s.a" },
        { R"({"version":1,"generation":1,"maker":"x","weights":{},)"
          R"("failover":{"a":{"s":{"a":{"b":600000,"c":600000}}}}})",
          "failover.a.s.a" },
    };
    for (const Case &it : cases) {
        try {
            parsePlan(it.json);
            ADD_FAILURE() << "accepted " << it.json;
        } catch (const Error &e) {
            EXPECT_THAT(e.what(), testing::HasSubstr(it.message)) << it.json;
        }
    }
}

} // namespace
} // namespace Tarragon
