#include "entry/RequestHead.h"

#include "net/HttpSyntax.h"

#include "entry/Settings.h"

#include <gtest/gtest.h>

#include <filesystem>

namespace Tarragon {
namespace {

// A booking that no rule names must not be taken for a request that may run twice.
TEST(RequestRules, WithoutARuleOnlySafeMethodsAreIdempotent)
{
    const ServiceConfiguration service;
    EXPECT_TRUE(ruleOf(service, "GET", "/parts").idempotent);
    EXPECT_FALSE(ruleOf(service, "POST", "/bookings").idempotent);
    EXPECT_EQ(ruleOf(service, "POST", "/bookings").requestClass, RequestClass::Booking);
}

TEST(RequestRules, TheFirstMatchingRuleDecides)
{
    ServiceConfiguration service;
    service.rules = { RequestRule{ "POST", "/search", RequestClass::Lookup, true },
                      RequestRule{ "*", "/", RequestClass::Booking, false } };
    EXPECT_TRUE(ruleOf(service, "POST", "/search?x=1").idempotent);
    EXPECT_FALSE(ruleOf(service, "POST", "/pay").idempotent);
}

// Connection headers of one side would break the framing or the kept connection of the other.
TEST(RequestHeaders, ConnectionHeadersAreKnownInAnyCase)
{
    EXPECT_TRUE(isConnectionHeader("Transfer-Encoding"));
    EXPECT_TRUE(isConnectionHeader("CONNECTION"));
    EXPECT_FALSE(isConnectionHeader("Content-Type"));
}

// The deployments are what operators start from, so their settings must be valid.
TEST(DeploymentSettings, AllFilesAreValid)
{
    int files = 0;
    for (const char *deployment : { "kinisi", "lo-verde" }) {
        const std::string folder =
                std::string(TARRAGON_SOURCE_DIR) + "/Deployments/" + deployment + "/settings";
        for (const std::filesystem::directory_entry &it :
             std::filesystem::directory_iterator(folder)) {
            Findings findings;
            EXPECT_TRUE(readSettings(it.path().string(), findings).has_value()) << it.path();
            ++files;
        }
    }
    EXPECT_EQ(files, 21);
}

} // namespace
} // namespace Tarragon
