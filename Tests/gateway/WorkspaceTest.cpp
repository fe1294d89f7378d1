#include "GatewayFixture.h"

#include <gmock/gmock.h>

namespace Tarragon {
namespace {

using testing::HasSubstr;
using testing::Not;

/// The request path of a gateway whose route table has workspaces.
class WorkspaceTest : public GatewayTest
{
protected:
    void adopt(std::uint64_t version, const std::string &key, const RegionSet &regions = {},
               const std::optional<UsageCap> &cap = std::nullopt)
    {
        RouteTable table;
        table.version = RouteVersion(version);
        table.routes = { makeRoute("read", true), makeRoute("pay", false),
                         makeRoute("open", true) };
        table.routes[2].isPublic = true;
        HostedService service;
        service.id = ServiceId("service");
        table.services.emplace(service.id, service);
        Workspace workspace;
        workspace.name = WorkspaceName("harbour");
        workspace.keys = { AccessKey(key) };
        workspace.allowedRegions = regions;
        workspace.cap = cap;
        table.workspaces.emplace();
        table.workspaces->add(workspace);
        ASSERT_TRUE(m_state->adopt(std::move(table)));
        m_state->setEntryCount(1);
        m_state->refreshTargets(m_loop.now());
    }

    /// Lets the issuer of the workspace, which is this entry, accumulate tokens: the bucket starts
    /// empty with the first request.
    void fillTokens(const std::string &key)
    {
        const std::size_t arrivals = m_arrivals.size();
        EXPECT_EQ(sendWithKey("/read/1", "Token " + key).status(), 429);
        EXPECT_EQ(m_arrivals.size(), arrivals);
        runFor(milliseconds(700));
    }

    CallerResult sendWithKey(const std::string &uri, const std::string &value)
    {
        HttpRequest request = callerRequest("GET", uri, "a1");
        request.headers.set("Authorization", value);
        return send(request);
    }
};

// Guards against requests that targets run without a known key, and against keys that targets see.
TEST_F(WorkspaceTest, OnlyRequestsWithAKnownKeyReachTargetsAndWithoutIt)
{
    adopt(1, "s3cret");
    addTarget("t1", answering(answer(200, sealed(), "x")));
    for (const char *it : { "Token other", "Bearer s3cret", "s3cret", "Token", "" }) {
        EXPECT_EQ(sendWithKey("/read/1", it).status(), 401) << it;
    }
    EXPECT_EQ(get("/read/1").status(), 401);
    EXPECT_TRUE(m_arrivals.empty());
    EXPECT_EQ(sendWithKey("/read/1", "Token s3cret").status(), 200);
    ASSERT_EQ(m_arrivals.size(), 1u);
    EXPECT_THAT(m_arrivals[0].second, HasSubstr("Tenant: harbour\r\n"));
    EXPECT_THAT(m_arrivals[0].second, Not(HasSubstr("s3cret")));
}

// Guards against callers that choose the workspace that a target sees.
TEST_F(WorkspaceTest, NamesOfWorkspacesSentByCallersAreReplaced)
{
    adopt(1, "s3cret");
    addTarget("t1", answering(answer(200, sealed(), "x")));
    HttpRequest request = callerRequest("GET", "/read/1", "a1");
    request.headers.add("tENANT", "pilots");
    request.headers.add("authorization", "token s3cret");
    request.headers.add("Tenant", "admiralty");
    EXPECT_EQ(send(request).status(), 200);
    ASSERT_EQ(m_arrivals.size(), 1u);
    EXPECT_THAT(m_arrivals[0].second, HasSubstr("Tenant: harbour\r\n"));
    EXPECT_THAT(m_arrivals[0].second, Not(HasSubstr("pilots")));
    EXPECT_THAT(m_arrivals[0].second, Not(HasSubstr("admiralty")));
    EXPECT_THAT(m_arrivals[0].second, Not(HasSubstr("s3cret")));

    // Two keys in one request identify nobody.
    request.headers.add("Authorization", "Token s3cret");
    EXPECT_EQ(send(request).status(), 401);
}

// Guards against public routes that need a key, or that pass one on.
TEST_F(WorkspaceTest, PublicRoutesAreServedWithoutAKey)
{
    adopt(1, "s3cret");
    addTarget("t1", answering(answer(200, sealed(), "x")));
    EXPECT_EQ(get("/open/1").status(), 200);
    EXPECT_EQ(sendWithKey("/open/1", "Token unknown").status(), 200);
    EXPECT_EQ(sendWithKey("/open/1", "Token s3cret").status(), 200);
    ASSERT_EQ(m_arrivals.size(), 3u);
    EXPECT_THAT(m_arrivals[1].second, Not(HasSubstr("Authorization")));
    EXPECT_THAT(m_arrivals[1].second, Not(HasSubstr("Tenant")));
    EXPECT_THAT(m_arrivals[2].second, HasSubstr("Tenant: harbour\r\n"));
}

// Guards against a withdrawn key that stays valid on a connection that is already open.
TEST_F(WorkspaceTest, WithdrawnKeysAreRejectedOnOpenConnections)
{
    adopt(1, "s3cret");
    addTarget("t1", answering(answer(200, sealed(), "x")));
    EXPECT_EQ(sendWithKey("/read/1", "Token s3cret").status(), 200);
    adopt(2, "newer");
    EXPECT_EQ(sendWithKey("/read/1", "Token s3cret").status(), 401);
    EXPECT_EQ(sendWithKey("/read/1", "Token newer").status(), 200);
}

// Guards against a retry with a key that was withdrawn while the request waited for it.
TEST_F(WorkspaceTest, KeysAreCheckedAgainBeforeARetry)
{
    adopt(1, "s3cret");
    const Script declining = [this](RawSocket &socket, const std::string &) {
        if (m_state->table()->version == RouteVersion(1)) {
            adopt(2, "newer");
        }
        socket.send(answer(503, "Attempt-Id: a1\r\nNot-Executed: 1\r\n", ""));
    };
    addTarget("t1", declining);
    addTarget("t2", declining);
    EXPECT_EQ(sendWithKey("/read/1", "Token s3cret").status(), 401);
    EXPECT_EQ(m_arrivals.size(), 1u);
}

// Guards against an entry that ends because a key is withdrawn while its request holds a token.
TEST_F(WorkspaceTest, WithdrawnKeysOfWorkspacesWithCapsAreRejectedBeforeARetry)
{
    const UsageCap cap{ 1'000, 1'000 };
    adopt(1, "s3cret", {}, cap);
    const Script declining = [this, cap](RawSocket &socket, const std::string &) {
        if (m_state->table()->version == RouteVersion(1)) {
            adopt(2, "newer", {}, cap);
        }
        socket.send(answer(503, "Attempt-Id: a1\r\nNot-Executed: 1\r\n", ""));
    };
    addTarget("t1", declining);
    addTarget("t2", declining);
    fillTokens("s3cret");
    EXPECT_EQ(sendWithKey("/read/1", "Token s3cret").status(), 401);
    EXPECT_EQ(m_arrivals.size(), 1u);
}

// Guards against requests beyond a cap that reach targets, and against a refusal without its time.
TEST_F(WorkspaceTest, RequestsBeyondTheCapAreRefusedWithRetryAfter)
{
    adopt(1, "s3cret", {}, UsageCap{ 20, 3 });
    addTarget("t1", answering(answer(200, sealed(), "x")));
    fillTokens("s3cret");
    int answered = 0;
    CallerResult last;
    for (int i = 0; i < 40 && last.status() != 429; ++i) {
        last = sendWithKey("/read/1", "Token s3cret");
        answered += last.status() == 200 ? 1 : 0;
    }
    EXPECT_EQ(last.status(), 429);
    EXPECT_GT(std::stod(last.header("Retry-After")), 0);
    EXPECT_GT(answered, 0);
    EXPECT_EQ(m_arrivals.size(), std::size_t(answered));
}

// Guards against requests that leave the regions of their workspace.
TEST_F(WorkspaceTest, RequestsStayInTheRegionsOfTheirWorkspace)
{
    adopt(1, "s3cret", { RegionId("r2") });
    addTarget("t1", answering(answer(200, sealed(), "x")));
    EXPECT_EQ(sendWithKey("/read/1", "Token s3cret").status(), 503);
    EXPECT_TRUE(m_arrivals.empty());
}

// Guards against 401 from an entry that does not know any key yet.
TEST_F(WorkspaceTest, WithoutATableKeysAreNotRejected)
{
    EXPECT_EQ(sendWithKey("/read/1", "Token s3cret").status(), 503);
}

} // namespace
} // namespace Tarragon
