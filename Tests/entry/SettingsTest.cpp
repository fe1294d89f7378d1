#include "entry/Settings.h"

#include <gtest/gtest.h>

namespace Tarragon {
namespace {

const char *const ValidText = R"(instance: e1
failureDomain: north-a
region: north
seat: 0
http: { address: 127.0.1.1, port: 8080 }
rpc: { address: 127.0.1.1, port: 9080 }
store: { address: 127.0.0.1, port: 7000 }
peers:
  - { instance: e2, rpcAddress: 127.0.1.2, rpcPort: 9080 }
)";

TEST(Settings, ReadsAllKeysAndDefaults)
{
    Findings findings;
    const std::optional<Settings> settings = parseSettings(ValidText, "e1.yaml", findings);
    ASSERT_TRUE(settings.has_value());
    EXPECT_EQ(settings->instance, InstanceId("e1"));
    EXPECT_EQ(settings->rpc.port, 9080);
    ASSERT_EQ(settings->peers.size(), 1U);
    EXPECT_EQ(settings->maxBody.value, 1024U * 1024U);
}

// A misspelt key must be reported, and not silently leave the default in force.
TEST(Settings, RefusesUnknownKeyWithItsLine)
{
    Findings findings;
    const std::string text = std::string(ValidText) + "maxBodyByte: 5\n";
    EXPECT_FALSE(parseSettings(text, "e1.yaml", findings).has_value());
    ASSERT_EQ(findings.size(), 1U);
    EXPECT_EQ(findings[0].line, 10);
    EXPECT_EQ(findings[0].key, "maxBodyByte");
    EXPECT_EQ(findings[0].found, "an unknown key");
}

// All faults of a file must be reported at once, so that an operator can correct them in one step.
TEST(Settings, ReportsAllFaultsTogether)
{
    Findings findings;
    const std::string text = "instance: e1\nfailureDomain: a\nregion: r\nseat: many\n"
                             "http: { address: localhost, port: 70000 }\n"
                             "rpc: { address: 127.0.0.1, port: 1 }\n";
    EXPECT_FALSE(parseSettings(text, "e1.yaml", findings).has_value());
    ASSERT_EQ(findings.size(), 4U);
    EXPECT_EQ(findings[0].key, "seat");
    EXPECT_EQ(findings[1].key, "http.address");
    EXPECT_EQ(findings[2].key, "http.port");
    EXPECT_EQ(findings[3].key, "store");
}

TEST(Settings, RefusesTextThatIsNotYaml)
{
    Findings findings;
    EXPECT_FALSE(parseSettings("a: [", "e1.yaml", findings).has_value());
    EXPECT_EQ(findings.size(), 1U);
}

} // namespace
} // namespace Tarragon
