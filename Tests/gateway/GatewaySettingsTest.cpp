#include "gateway/GatewaySettings.h"

#include <gtest/gtest.h>

namespace Tarragon {
namespace {

const std::string Valid = R"(instance: "edge-1"
failureDomain: "thess-a"
region: "gr-north"
front: "127.0.0.1:8381"
readiness: "127.0.0.1:8388"
lookup: "127.0.0.1:8383"
rpc: "127.0.0.1:7200"
metrics: "127.0.0.1:7201"
store: "127.0.0.7:8384"
failureDomains:
  "thess-a": "gr-north"

  "athens-a": "gr-attica"
firstStart: true
bounds:
  retryShare: 0.2
  extraRetries: 58
  stopGraceSeconds: 6
  lookupTtlSeconds: 2.5
  drainSeconds: 3
memoryMegabytes: 256
maxDescriptors: 8200
capacityCores: "0.5"
linkMegabits: "10"
log:
  level: WARN
)";

// Guards against settings whose parsed values differ from the file.
TEST(GatewaySettingsTest, ReadsAllSettings)
{
    Findings findings;
    const std::optional<GatewaySettings> settings =
            parseGatewaySettings(Valid, "gateway.yaml", findings);
    ASSERT_TRUE(settings.has_value()) << toString(findings.at(0));
    EXPECT_EQ(settings->instance, InstanceId("edge-1"));
    EXPECT_EQ(settings->front, (Endpoint{ "127.0.0.1", 8381 }));
    EXPECT_EQ(settings->regions.at(FailureDomainId("athens-a")), RegionId("gr-attica"));
    EXPECT_DOUBLE_EQ(settings->bounds.extraRetries, 58);
    EXPECT_EQ(settings->bounds.stopGrace, seconds(6));
    EXPECT_EQ(settings->bounds.maxLookupTtl, milliseconds(2'500));
    EXPECT_EQ(settings->bounds.drainTime, milliseconds(3'000));
    EXPECT_EQ(settings->memoryMegabytes, 256u);
    EXPECT_EQ(settings->maxDescriptors, 8'200u);
    EXPECT_EQ(settings->logLevel, "WARN");
    EXPECT_TRUE(settings->isFirstStart);
    EXPECT_EQ(settings->capacity(), Cores{ 0.025 });
}

// Guards against an entry that does not start, or states a capacity of 0, where the platform sets
// no limits.
TEST(GatewaySettingsTest, CapacityIsUnknownWithoutLimits)
{
    for (const char *stated : { "capacityCores: \"\"", "capacityCores: \"0\"", "" }) {
        std::string text = Valid;
        const std::string line = "capacityCores: \"0.5\"";
        text.replace(text.find(line), line.size(), stated);
        Findings findings;
        const std::optional<GatewaySettings> settings =
                parseGatewaySettings(text, "gateway.yaml", findings);
        ASSERT_TRUE(settings.has_value()) << stated;
        EXPECT_FALSE(settings->capacity().has_value()) << stated;
    }
}

// Guards against invalid settings that are accepted, or whose fault is reported without its
// position.
TEST(GatewaySettingsTest, FaultsAreReportedWithTheirPosition)
{
    const std::vector<std::pair<std::string, std::string>> faults = {
        { "store: \"127.0.0.7:8384\"", "store: \"nowhere\"" },
        { "region: \"gr-north\"", "regoin: \"gr-north\"" },
        { "extraRetries: 58", "extraRetries: many" },
        { "level: WARN", "level: LOUD" },
        { "memoryMegabytes: 256", "memoryMegabytes: some" },
        { "firstStart: true", "firstStart: perhaps" },
        { "capacityCores: \"0.5\"", "capacityCores: half" },
        { "instance: \"edge-1\"", "" },
    };
    for (const auto &[from, to] : faults) {
        std::string text = Valid;
        text.replace(text.find(from), from.size(), to);
        Findings findings;
        EXPECT_FALSE(parseGatewaySettings(text, "gateway.yaml", findings).has_value()) << to;
        ASSERT_FALSE(findings.empty()) << to;
        EXPECT_EQ(findings[0].file, "gateway.yaml");
        EXPECT_FALSE(findings[0].found.empty());
        EXPECT_FALSE(findings[0].expected.empty());
    }
}

} // namespace
} // namespace Tarragon
