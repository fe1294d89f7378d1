#include "gateway/GatewayDaemon.h"

#include "StandIns/platform/StandInStore.h"
#include "Support/LoopTest.h"
#include "Support/LoopbackAddress.h"
#include "Support/PromptCaller.h"

#include <gmock/gmock.h>

#include <optional>

namespace Tarragon {
namespace {

/// A complete gateway on free ports, with a stand-in for the store.
class GatewayDaemonTest : public LoopTest
{
protected:
    GatewayDaemonTest()
    {
        m_settings.instance = InstanceId("e1");
        m_settings.domain = FailureDomainId("d1");
        m_settings.region = RegionId("r1");
        m_settings.regions = { { FailureDomainId("d1"), RegionId("r1") } };
        m_settings.bounds.stopGrace = milliseconds(1'000);
        m_settings.store = Endpoint{ "127.0.0.1", m_standIn.port() };
        for (Endpoint *it : { &m_settings.front, &m_settings.readiness, &m_settings.lookup,
                              &m_settings.rpc, &m_settings.metrics }) {
            *it = Endpoint{ "127.0.0.1", 0 };
        }
        m_daemon = std::make_unique<GatewayDaemon>(m_loop, m_settings, m_log);
    }

    static nlohmann::json desiredState(int version)
    {
        return {
            { "version", "r" + std::to_string(version) },
            { "routes",
              { { "columns",
                  { "name", "host", "path_prefix", "kind", "timeout_s", "target_latency_s",
                    "service" } },
                { "rows", { { "r-1", "a.example", "/x/", "safe", 1.0, 0.2, "one" } } } } },
            { "services", { { "columns", { "name" } }, { "rows", { { "one" } } } } },
        };
    }
    void writeDesiredState(int version) { write("config", "main", desiredState(version)); }
    void writeTarget(const std::string &id)
    {
        write("servers", id,
              { { "service", "one" },
                { "address", "127.0.0.1:9" },
                { "zone", "d1" },
                { "slots", 2 },
                { "state", "ready" } });
    }
    void write(const std::string &kind, const std::string &name, const nlohmann::json &spec)
    {
        Platform::ObjectStore store(m_client, m_settings.store);
        std::optional<Platform::ItemResult> result;
        const HttpCallPtr call =
                store.create(kind, name, spec, seconds(5),
                             [&result](const Platform::ItemResult &value) { result = value; });
        runUntil([&result] { return result.has_value(); });
        ASSERT_EQ(result->outcome, Platform::CallOutcome::Done);
    }
    HttpResponse ask(std::uint16_t port, const std::string &uri)
    {
        HttpRequest request;
        request.address = "127.0.0.1";
        request.port = port;
        request.uri = uri;
        std::optional<HttpResponse> result;
        const HttpCallPtr call = m_client.fetch(
                request, ByteCount{ 1'000'000 },
                [&result](const HttpResponse &response) { result = response; },
                [&result](const HttpFailure &) { result = HttpResponse(); });
        runUntil([&result] { return result.has_value(); });
        return *result;
    }
    static bool acceptsConnections(std::uint16_t port)
    {
        const SocketAddress address = loopbackAddress(port);
        const int fd = socket(AF_INET, SOCK_STREAM, 0);
        const bool isAccepted = connect(fd, address.data(), address.length) == 0;
        close(fd);
        return isAccepted;
    }
    /// Sends requests one after the other whose responses together exceed what the caller can
    /// receive without reading.
    void sendUnreadRequests(PromptCaller &caller, std::size_t n)
    {
        for (std::size_t i = 0; i < n; ++i) {
            caller.send(RequestWithoutRoute);
            runFor(milliseconds(1));
        }
    }
    /// Stops a daemon while a caller has unread responses, which it begins to read when the daemon
    /// accepts no connections any more, and sends a further request to after the end. Returns the
    /// number of whole responses received.
    std::size_t responsesReadDuringStop(std::uint16_t GatewayDaemon::Ports::*listener,
                                        std::size_t n)
    {
        m_settings.bounds.stopGrace = milliseconds(6'000);
        m_daemon.reset();
        m_daemon = std::make_unique<GatewayDaemon>(m_loop, m_settings, m_log);
        const std::uint16_t front = m_daemon->ports().front;
        PromptCaller caller(m_daemon->ports().*listener, UnreadReceiveBuffer);
        sendUnreadRequests(caller, n);
        m_daemon->beginShutdown();
        bool isStopping = false;
        const Timer reader = m_loop.scheduleEvery(milliseconds(2), [&] {
            isStopping = isStopping || !acceptsConnections(front);
            if (isStopping) {
                caller.receive(256);
            }
        });
        m_daemon->run();
        m_daemon.reset();
        // libevent closes the sockets in a later iteration.
        runFor(milliseconds(10));
        caller.sendIfPossible(RequestWithoutRoute);
        while (caller.receive()) {
        }
        return responsesIn(caller.received());
    }
    static std::size_t responsesIn(const std::string &received)
    {
        std::size_t n = 0;
        for (std::size_t at = received.find("HTTP/1.1 "); at != std::string::npos;
             at = received.find("HTTP/1.1 ", at + 1)) {
            ++n;
        }
        return n;
    }
    int readiness()
    {
        return ask(m_daemon->ports().readiness, "/tarragonstage/readiness").head.status;
    }
    HttpResponse lookup()
    {
        return ask(m_daemon->ports().lookup,
                   "/tarragonstage/resolve?name=a.example&region=r1&zone=d1");
    }

    static constexpr std::string_view RequestWithoutRoute = "GET / HTTP/1.1\r\nHost: a\r\n\r\n";
    static constexpr std::size_t UnreadRequests = 300;
    /// The metrics are much larger than other responses.
    static constexpr std::size_t UnreadMetrics = 5;
    static constexpr int UnreadReceiveBuffer = 4'096;

    StandInStore m_standIn{ m_loop, "127.0.0.1", 0, 0 };
    HttpClient m_client{ m_loop };
    GatewaySettings m_settings;
    LogBuffer m_log{ 1'000'000 };
    std::unique_ptr<GatewayDaemon> m_daemon;
};

// Guards against lookups that send callers to an entry which cannot serve them yet.
TEST_F(GatewayDaemonTest, IsReadyWithRoutesAndATarget)
{
    EXPECT_EQ(readiness(), 503);
    EXPECT_EQ(lookup().head.status, 503);
    writeDesiredState(3);
    EXPECT_EQ(readiness(), 503);
    writeTarget("t1");
    runUntil([this] { return readiness() == 200; });
    runUntil([this] { return lookup().head.status == 200; });
    const nlohmann::json answer = nlohmann::json::parse(lookup().body);
    EXPECT_EQ(answer.at("addresses").size(), 1u);
    EXPECT_LE(answer.at("ttl_s").get<double>(), 5.0);
}

// Guards against lookups that send callers to an entry which is stopping, and against a
// registration that outlives its process.
TEST_F(GatewayDaemonTest, StoppingEntryIsNotInLookupsAndRemovesItsRegistration)
{
    writeDesiredState(3);
    writeTarget("t1");
    runUntil([this] { return readiness() == 200; });
    runUntil([this] { return m_standIn.objects().find("entries", "e1") != nullptr; });
    runUntil([this] { return lookup().head.status == 200; });
    m_daemon->beginShutdown();
    EXPECT_EQ(readiness(), 503);
    EXPECT_EQ(lookup().head.status, 503);
    runUntil([this] { return m_standIn.objects().find("entries", "e1") == nullptr; });
}

// Guards against requests that are aborted because the process exits while receiving them.
TEST_F(GatewayDaemonTest, StoppingEntryAnswersPartlyReceivedRequests)
{
    const std::uint16_t port = m_daemon->ports().front;
    PromptCaller caller(port);
    caller.send("GET /x/1 HTTP/1.1\r\n");
    m_daemon->beginShutdown();
    bool isSent = false;
    const Timer look = m_loop.scheduleEvery(milliseconds(2), [&] {
        if (!isSent && !acceptsConnections(port)) {
            caller.send("Host: a.example\r\n\r\n");
            isSent = true;
        }
    });
    // Returns when the shutdown has finished.
    m_daemon->run();
    EXPECT_TRUE(isSent);
    EXPECT_FALSE(caller.receive() && caller.received().empty());
    EXPECT_EQ(caller.received().substr(0, 9), "HTTP/1.1 ");
    EXPECT_NE(caller.received().find("\r\n\r\n"), std::string::npos);
}

// Guards against a planned stop that ends the process while a caller reads its responses: a further
// request that arrives after the end would cut them.
TEST_F(GatewayDaemonTest, StoppingEntryEndsWhenItsResponsesHaveBeenRead)
{
    EXPECT_EQ(responsesReadDuringStop(&GatewayDaemon::Ports::front, UnreadRequests),
              UnreadRequests);
}

// Guards against a planned stop that cuts the responses of its other listeners.
TEST_F(GatewayDaemonTest, StoppingEntryEndsWhenItsLookupsHaveBeenRead)
{
    EXPECT_EQ(responsesReadDuringStop(&GatewayDaemon::Ports::lookup, UnreadRequests),
              UnreadRequests);
    EXPECT_EQ(responsesReadDuringStop(&GatewayDaemon::Ports::readiness, UnreadRequests),
              UnreadRequests);
    EXPECT_EQ(responsesReadDuringStop(&GatewayDaemon::Ports::metrics, UnreadMetrics),
              UnreadMetrics);
}

// Guards against a planned stop that waits beyond the grace time for a caller that reads nothing,
// and for one that keeps its connection open.
TEST_F(GatewayDaemonTest, StoppingEntryEndsWithinTheGraceTime)
{
    PromptCaller silent(m_daemon->ports().front, UnreadReceiveBuffer);
    sendUnreadRequests(silent, UnreadRequests);
    PromptCaller open(m_daemon->ports().lookup);
    open.send("GET / HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n");
    const MonotonicTime start = m_loop.now();
    m_daemon->beginShutdown();
    m_daemon->run();
    EXPECT_LE(m_loop.now() - start, m_settings.bounds.stopGrace);
}

// Guards against a planned stop that takes requests which it then cuts off.
TEST_F(GatewayDaemonTest, StoppingEntryRefusesRequestsWithMoreTimeThanIsLeft)
{
    writeDesiredState(3);
    writeTarget("t1");
    runUntil([this] { return readiness() == 200; });
    m_daemon->beginShutdown();
    HttpRequest request;
    request.address = "127.0.0.1";
    request.port = m_daemon->ports().front;
    request.uri = "/x/1";
    request.headers.set("Host", "a.example");
    std::optional<HttpResponse> response;
    const HttpCallPtr call = m_client.fetch(
            request, ByteCount{ 1'000'000 }, [&response](const HttpResponse &it) { response = it; },
            [](const HttpFailure &) {});
    runUntil([&response] { return response.has_value(); });
    EXPECT_EQ(response->head.status, 503);
    EXPECT_THAT(response->body, testing::HasSubstr("stopping"));
}

// Guards against an invalid desired state, or one under another name, that replaces the one in
// force: a valid one with a lower version would then be refused.
TEST_F(GatewayDaemonTest, InvalidDesiredStateIsRefusedAsAWhole)
{
    writeDesiredState(3);
    writeTarget("t1");
    runUntil([this] { return readiness() == 200; });
    nlohmann::json invalid = desiredState(8);
    invalid["routes"]["rows"].push_back({ "r-2", "a.example", "/y/", "safe", "soon", 0.2, "one" });
    m_standIn.objects().put("config", "main", invalid);
    write("config", "other", desiredState(9));
    m_standIn.objects().put("config", "main", desiredState(6));
    write("config", "another", nlohmann::json::object());
    runUntil([this] {
        const std::string text = ask(m_daemon->ports().metrics, "/metrics").body;
        return text.find("tarragon_gateway_route_version 6") != std::string::npos;
    });
    EXPECT_EQ(readiness(), 200);
}

// Guards against metrics from which an on-call engineer cannot tell why a gateway refuses requests.
TEST_F(GatewayDaemonTest, MetricsShowRefusalsAndTheAgeOfStoreData)
{
    writeDesiredState(3);
    writeTarget("t1");
    runUntil([this] { return readiness() == 200; });
    EXPECT_EQ(ask(m_daemon->ports().front, "/x/1").head.status, 404);
    const std::string text = ask(m_daemon->ports().metrics, "/metrics").body;
    for (const char *name :
         { "tarragon_gateway_requests_total{outcome=\"no-route\",route=\"none\"} 1",
           "tarragon_gateway_store_age_seconds", "tarragon_gateway_request_memory_bytes",
           "tarragon_gateway_memory_refusals_total 0", "tarragon_gateway_loop_lag_seconds_count",
           "tarragon_gateway_log_lines_dropped 0", "tarragon_gateway_log_lines_skipped 0",
           "tarragon_gateway_sends_in_progress{service=\"one\"} 0" }) {
        EXPECT_NE(text.find(name), std::string::npos) << name << " is not in\n" << text;
    }
}

// Guards against an entry that stays unknown to others because its registration was removed by
// mistake.
TEST_F(GatewayDaemonTest, RegistersAgainWhenItsRegistrationVanishes)
{
    runUntil([this] { return m_standIn.objects().find("entries", "e1") != nullptr; });
    const std::uint64_t before = m_standIn.objects().revisionOf("entries", "e1");
    m_standIn.objects().remove("entries", "e1");
    writeDesiredState(1);
    write("entries", "e2", { { "state", "odd" } });
    runUntil([this, before] { return m_standIn.objects().revisionOf("entries", "e1") > before; });
}

// Guards against an entry that stays unregistered, and against an evacuation that ends, because the
// copy from which the store was restored lacks them.
TEST_F(GatewayDaemonTest, RegistersAgainAndKeepsEvacuationsWhenTheStoreIsRestored)
{
    writeDesiredState(1);
    writeTarget("t1");
    runUntil([this] { return readiness() == 200; });
    runUntil([this] { return m_standIn.objects().find("entries", "e1") != nullptr; });
    StandInObjects copy = m_standIn.objects();
    copy.remove("entries", "e1");
    write("evacuations", "d1", { { "x", 1 } });
    runUntil([this] { return readiness() == 503; });
    m_standIn.objects().restore(copy);
    writeTarget("t2");
    runUntil([this] { return m_standIn.objects().find("entries", "e1") != nullptr; });
    EXPECT_EQ(readiness(), 503) << "the operator writes the evacuation again";
    runUntil([this] { return readiness() == 200; });
}

// Guards against an older desired state replacing a newer one within a process.
TEST(GatewayStateTest, OnlyNewerRouteTablesAreAdopted)
{
    GatewaySettings settings;
    GatewayState state(settings, settings.bounds);
    const auto table = [](std::uint64_t version) {
        RouteTable result;
        result.version = RouteVersion(version);
        return result;
    };
    EXPECT_TRUE(state.adopt(table(9)));
    EXPECT_FALSE(state.adopt(table(8)));
    EXPECT_FALSE(state.adopt(table(9)));
    EXPECT_TRUE(state.adopt(table(10)));
    EXPECT_EQ(state.table()->version, RouteVersion(10));
}

// Guards against a gateway that retries by limits which are no longer in force.
TEST(GatewayStateTest, ChangedBoundsApplyToBudgetsInUse)
{
    const GatewaySettings settings;
    GatewayBounds bounds;
    bounds.retryShare = 0;
    bounds.extraRetries = 100;
    const MonotonicTime now(seconds(1));
    GatewayState state(settings, bounds);
    state.setEntryCount(1);
    const ServiceId service("one");
    EXPECT_GT(state.retryBudget(service).available(now), 10);
    bounds.extraRetries = 10;
    state.setBounds(bounds);
    EXPECT_LE(state.retryBudget(service).available(now), 10);
}

} // namespace
} // namespace Tarragon
