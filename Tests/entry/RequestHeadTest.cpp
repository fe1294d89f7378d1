#include "entry/RequestHead.h"

#include "net/HttpSyntax.h"

#include "entry/Settings.h"

#include <gtest/gtest.h>

#include <filesystem>

namespace Tarragon {
namespace {

// A request without a matching rule, such as a booking by POST, must not count as idempotent.
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

// Headers that concern one connection must be recognized in any case: passed on, they would break
// the framing or the reuse of the other connection.
TEST(RequestHeaders, ConnectionHeadersAreRecognizedInAnyCase)
{
    EXPECT_TRUE(isConnectionHeader("Transfer-Encoding"));
    EXPECT_TRUE(isConnectionHeader("CONNECTION"));
    EXPECT_FALSE(isConnectionHeader("Content-Type"));
}

// Operators start from the files in Deployments/, so all settings files there must be valid.
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
