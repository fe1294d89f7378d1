#include "RoutingFixture.h"
#include "base/Error.h"
#include "routing/RequestAccess.h"

#include <gtest/gtest.h>

namespace Tarragon {
namespace {

Workspace workspace(const std::string &name, const std::vector<std::string> &keys)
{
    Workspace result;
    result.name = WorkspaceName(name);
    for (const std::string &it : keys) {
        result.keys.emplace_back(it);
    }
    return result;
}

class RequestAccessTest : public testing::Test
{
protected:
    RequestAccessTest()
    {
        m_table.workspaces.emplace();
        m_table.workspaces->add(workspace("harbour", { "k1", "k2" }));
        Workspace south = workspace("pilots", { "k3" });
        south.allowedRegions = { RegionId("south") };
        m_table.workspaces->add(south);
    }

    Access check(const std::optional<AccessKey> &key) const
    {
        return checkAccess(m_table, m_route, key);
    }

    RouteTable m_table;
    Route m_route = RoutingFixture::route();
};

// Guards against a table that identifies the workspace of a key ambiguously.
TEST(WorkspaceTableTest, RejectsNamesAndKeysThatAreEmptyOrOccurTwice)
{
    const std::vector<Workspace> faulty = {
        workspace("", { "k9" }),
        workspace("harbour", { "k9" }),
        workspace("pilots", { "secret-1" }),
        workspace("pilots", { "" }),
        workspace("pilots", { "k9", "k9" }),
    };
    for (const Workspace &it : faulty) {
        WorkspaceTable table;
        table.add(workspace("harbour", { "secret-1", "k2" }));
        try {
            table.add(it);
            ADD_FAILURE() << it.name;
        } catch (const Error &error) {
            EXPECT_EQ(std::string(error.what()).find("secret-1"), std::string::npos);
        }
    }
}

// Guards against requests that are served without a known key.
TEST_F(RequestAccessTest, OnlyKnownKeysIdentifyAWorkspace)
{
    EXPECT_EQ(check(AccessKey("k2")).workspace->name, WorkspaceName("harbour"));
    EXPECT_EQ(check(AccessKey("k2")).verdict, AccessVerdict::Allowed);
    EXPECT_EQ(check(AccessKey("K2")).verdict, AccessVerdict::UnknownKey);
    EXPECT_EQ(check(AccessKey("")).verdict, AccessVerdict::UnknownKey);
    EXPECT_EQ(check(std::nullopt).verdict, AccessVerdict::UnknownKey);
}

// Guards against public routes that reject requests, or that lose the workspace of a known key.
TEST_F(RequestAccessTest, PublicRoutesNeedNoKey)
{
    m_route.isPublic = true;
    EXPECT_EQ(check(std::nullopt).verdict, AccessVerdict::Allowed);
    EXPECT_EQ(check(AccessKey("no")).verdict, AccessVerdict::Allowed);
    EXPECT_EQ(check(AccessKey("no")).workspace, nullptr);
    EXPECT_EQ(check(AccessKey("k1")).workspace->name, WorkspaceName("harbour"));
}

// Guards against deployments without workspaces that reject requests.
TEST_F(RequestAccessTest, WithoutWorkspacesNoKeyIsNeeded)
{
    m_table.workspaces.reset();
    EXPECT_EQ(check(std::nullopt).verdict, AccessVerdict::Allowed);
}

// Guards against requests handled in a region that only one of route and workspace allows.
TEST_F(RequestAccessTest, RegionsMustBeAllowedByRouteAndWorkspace)
{
    m_route.allowedRegions = { RegionId("north") };
    EXPECT_EQ(check(AccessKey("k1")).verdict, AccessVerdict::Allowed);
    EXPECT_EQ(check(AccessKey("k3")).verdict, AccessVerdict::NoCommonRegion);
    m_route.allowedRegions = { RegionId("north"), RegionId("south") };
    const Access access = check(AccessKey("k3"));
    EXPECT_EQ(access.verdict, AccessVerdict::Allowed);
    PlacementQuery query;
    query.route = &m_route;
    query.workspace = access.workspace;
    EXPECT_TRUE(query.allows(RegionId("south")));
    EXPECT_FALSE(query.allows(RegionId("north")));
}

} // namespace
} // namespace Tarragon
