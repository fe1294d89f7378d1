#include "routing/RouteTable.h"

#include "RoutingFixture.h"

#include <gtest/gtest.h>

namespace Tarragon {
namespace {

// Guards against requests routed by a shorter prefix or by a route of another host.
TEST(RouteTableTest, LongestPrefixOfTheHostWins)
{
    RouteTable table;
    for (const char *prefix : { "/", "/a/", "/a/b/" }) {
        Route route = RoutingFixture::route();
        route.name = RouteName(prefix);
        route.pathPrefix = prefix;
        table.routes.push_back(route);
    }
    table.routes[0].host = "other.example";
    const auto nameOf = [&table](const char *host, const char *path) {
        const Route *route = table.find(host, path);
        return route == nullptr ? std::string() : route->name.value();
    };
    EXPECT_EQ(nameOf("stand.example", "/a/b/c"), "/a/b/");
    EXPECT_EQ(nameOf("stand.example", "/a/bc"), "/a/");
    EXPECT_EQ(nameOf("stand.example", "/b/"), "");
    EXPECT_EQ(nameOf("other.example", "/a/b/c"), "/");
    EXPECT_EQ(nameOf("third.example", "/a/"), "");
}

} // namespace
} // namespace Tarragon
