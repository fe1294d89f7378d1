// Callers that keep their connections for less than the idle limit, with a real gateway process
// whose limit changes or which stands still.

#include "IdleCaller.h"

#include "StandIns/platform/StandInStore.h"
#include "Support/FirstSeed.h"
#include "Support/GatewayProcess.h"
#include "Support/LoopTest.h"
#include "net/HttpClient.h"
#include "net/HttpServer.h"

#include <algorithm>
#include <array>
#include <cstdlib>
#include <iostream>
#include <memory>
#include <optional>
#include <ostream>
#include <random>
#include <string>
#include <vector>

namespace Tarragon {
namespace {

constexpr std::size_t CallerCount = 300;
constexpr std::size_t TargetCount = 6;

struct IdleScenario
{
    const char *name;
    /// The idle limit when the callers connect.
    seconds limit;
    /// The idle limit to which it changes while the callers are idle; 0 for none.
    seconds newLimit;
    /// Idle time of the callers at which it changes.
    milliseconds changeAt;
    /// Time between further changes from one limit to the other, until the last caller has sent; 0
    /// for none.
    milliseconds changePeriod;
    /// How long callers stay idle, at most four fifths of the newest limit.
    milliseconds minIdle;
    milliseconds maxIdle;
    /// Idle time of the callers at which the process is stopped, and for how long; 0 for never.
    milliseconds pauseAt;
    milliseconds pauseTime;
};

std::ostream &operator<<(std::ostream &out, const IdleScenario &value)
{
    return out << value.name;
}

constexpr std::array Scenarios = {
    IdleScenario{ "Quiet", seconds(2), seconds(0), milliseconds(0), milliseconds(0),
                  milliseconds(200), milliseconds(1'600), milliseconds(0), milliseconds(0) },
    IdleScenario{ "Raised", seconds(2), seconds(20), milliseconds(0), milliseconds(0),
                  milliseconds(5'000), milliseconds(7'000), milliseconds(0), milliseconds(0) },
    IdleScenario{ "RaisedAtTheLastMoment", seconds(2), seconds(20), milliseconds(1'900),
                  milliseconds(0), milliseconds(1'960), milliseconds(2'400), milliseconds(0),
                  milliseconds(0) },
    IdleScenario{ "Lowered", seconds(20), seconds(2), milliseconds(0), milliseconds(0),
                  milliseconds(800), milliseconds(1'600), milliseconds(0), milliseconds(0) },
    IdleScenario{ "Storm", seconds(2), seconds(20), milliseconds(0), milliseconds(400),
                  milliseconds(800), milliseconds(1'600), milliseconds(0), milliseconds(0) },
    IdleScenario{ "PauseOf300Ms", seconds(2), seconds(0), milliseconds(0), milliseconds(0),
                  milliseconds(1'200), milliseconds(1'600), milliseconds(1'150),
                  milliseconds(300) },
    IdleScenario{ "PauseOf800Ms", seconds(2), seconds(0), milliseconds(0), milliseconds(0),
                  milliseconds(1'200), milliseconds(1'600), milliseconds(1'300),
                  milliseconds(800) },
    IdleScenario{ "PauseOf1700Ms", seconds(2), seconds(0), milliseconds(0), milliseconds(0),
                  milliseconds(900), milliseconds(1'600), milliseconds(850), milliseconds(1'700) },
    IdleScenario{ "PauseOf5S", seconds(2), seconds(0), milliseconds(0), milliseconds(0),
                  milliseconds(900), milliseconds(1'600), milliseconds(850), milliseconds(5'000) },
};

/// A gateway process with targets and callers.
class IdleCallerTest : public LoopTest, public testing::WithParamInterface<IdleScenario>
{
protected:
    IdleCallerTest()
    {
        for (std::size_t i = 0; i < TargetCount; ++i) {
            m_targets.push_back(std::make_unique<HttpServer>(m_loop, "127.0.0.1", 0,
                                                             HttpServerLimits{}, &answer));
        }
    }

    static void answer(const HttpExchangePtr &exchange)
    {
        HttpHeaders headers;
        headers.add("Response-Seal", "s");
        headers.add("Attempt-Id", exchange->headers().find("Attempt-Id").value_or(""));
        exchange->reply(200, headers, IdleCaller::ResponseEnd);
    }

    /// Puts a desired state with the next version and the idle limit in force.
    void putLimit(seconds limit)
    {
        const std::string version = std::to_string(++m_version);
        m_standIn.objects().put(
                "config", "main",
                { { "version", "r" + version },
                  { "routes",
                    { { "columns",
                        { "name", "host", "path_prefix", "kind", "timeout_s", "target_latency_s",
                          "service" } },
                      { "rows",
                        { { "r-1", "a.example", "/x/", "safe", 10.0, 0.5, "one" },
                          { "r-2", "a.example", "/v" + version + "/", "safe", 10.0, 0.5,
                            "one" } } } } },
                  { "services", { { "columns", { "name" } }, { "rows", { { "one" } } } } },
                  { "limits",
                    { { "max_header_bytes", 16'384 },
                      { "max_body_bytes", 65'536 },
                      { "idle_timeout_s", limit.count() } } } });
    }

    void start(seconds limit)
    {
        putLimit(limit);
        for (std::size_t i = 0; i < m_targets.size(); ++i) {
            m_standIn.objects().put(
                    "servers", "t" + std::to_string(i),
                    { { "service", "one" },
                      { "address", "127.0.0.1:" + std::to_string(m_targets[i]->port()) },
                      { "zone", "d1" },
                      { "slots", 50 },
                      { "state", "ready" } });
        }
        GatewayLogOptions log;
        if (const char *file = std::getenv("TARRAGON_GATEWAY_LOG")) {
            log = { "INFO", file };
        }
        m_process = std::make_unique<GatewayProcess>(m_standIn.port(), log);
        awaitNewestVersion();
    }

    /// Asks on new connections until the newest desired state is in force.
    void awaitNewestVersion()
    {
        int status = 0;
        while (status != 200 && !HasFailure()) {
            status = ask("/v" + std::to_string(m_version) + "/1");
        }
    }

    int ask(const std::string &target)
    {
        HttpRequest request;
        request.address = "127.0.0.1";
        request.port = m_process->frontPort();
        request.uri = target;
        request.method = "GET";
        request.headers.set("Host", "a.example");
        request.headers.set("Connection", "close");
        request.headers.set("Attempt-Id", "ask-" + std::to_string(++m_asked));
        std::optional<int> status;
        const HttpCallPtr call = m_client.fetch(
                request, ByteCount{ 1'000 },
                [&status](const HttpResponse &response) { status = response.head.status; },
                [&status](const HttpFailure &) { status = 0; });
        runUntil([&status] { return status.has_value(); });
        return status.value_or(0);
    }

    /// Connects the callers and waits until their first responses are complete.
    void connectCallers()
    {
        for (std::size_t i = 0; i < CallerCount; ++i) {
            m_callers.push_back(std::make_unique<IdleCaller>(m_loop, m_process->frontPort(),
                                                             "c" + std::to_string(i)));
        }
        runUntil([this] {
            return std::all_of(m_callers.begin(), m_callers.end(),
                               [](const auto &it) { return it->isIdle(); });
        });
    }

    /// Schedules what the scenario does to the process while the callers are idle.
    void scheduleTroubles(const IdleScenario &scenario)
    {
        if (scenario.pauseTime > milliseconds(0)) {
            m_pauseTimer = m_loop.schedule(scenario.pauseAt, [this, &scenario] {
                m_process->pause();
                m_resumeTimer =
                        m_loop.schedule(scenario.pauseTime, [this] { m_process->resume(); });
            });
        }
        if (scenario.newLimit > seconds(0)) {
            m_limitTimer = m_loop.schedule(scenario.changeAt,
                                           [this, &scenario] { putLimit(scenario.newLimit); });
        }
        if (scenario.changePeriod > milliseconds(0)) {
            m_changeTimer = m_loop.scheduleEvery(scenario.changePeriod, [this, &scenario] {
                putLimit(m_version % 2 == 0 ? scenario.limit : scenario.newLimit);
            });
        }
    }

    std::size_t count(IdleOutcome outcome) const
    {
        return std::size_t(
                std::count_if(m_callers.begin(), m_callers.end(),
                              [outcome](const auto &it) { return it->outcome() == outcome; }));
    }

    StandInStore m_standIn{ m_loop, "127.0.0.1", 0, 0 };
    std::vector<std::unique_ptr<HttpServer>> m_targets;
    HttpClient m_client{ m_loop };
    std::unique_ptr<GatewayProcess> m_process;
    std::vector<std::unique_ptr<IdleCaller>> m_callers;
    std::uint64_t m_version = 0;
    int m_asked = 0;
    Timer m_pauseTimer;
    Timer m_resumeTimer;
    Timer m_limitTimer;
    Timer m_changeTimer;
};

// Guards against a request that ends without an answer because its connection counts as idle.
TEST_P(IdleCallerTest, RequestWithinTheIdleLimitIsAnswered)
{
    const IdleScenario &scenario = GetParam();
    start(scenario.limit);
    connectCallers();
    scheduleTroubles(scenario);
    std::mt19937_64 random(firstSeed());
    std::uniform_int_distribution<std::int64_t> idleTime(scenario.minIdle.count(),
                                                         scenario.maxIdle.count());
    for (const std::unique_ptr<IdleCaller> &it : m_callers) {
        it->sendAfter(milliseconds(idleTime(random)));
    }
    runUntil([this] { return count(IdleOutcome::Pending) == 0; });
    std::cout << "answered " << count(IdleOutcome::Answered) << ", found closed "
              << count(IdleOutcome::FoundClosed) << ", not answered "
              << count(IdleOutcome::NotAnswered) << '\n';
    EXPECT_EQ(count(IdleOutcome::FoundClosed), 0u);
    EXPECT_EQ(count(IdleOutcome::NotAnswered), 0u);
    EXPECT_EQ(count(IdleOutcome::Answered), CallerCount);
}

INSTANTIATE_TEST_SUITE_P(Scenarios, IdleCallerTest, testing::ValuesIn(Scenarios));

} // namespace
} // namespace Tarragon
