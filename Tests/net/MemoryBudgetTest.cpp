#include "net/MemoryBudget.h"
#include "Support/LoopTest.h"
#include "Support/RawSocket.h"
#include "net/ConnectionAccount.h"
#include "net/HttpServer.h"

#include <gmock/gmock.h>

#include <memory>
#include <utility>
#include <vector>

namespace Tarragon {
namespace {

using testing::HasSubstr;

constexpr std::size_t Capacity = 1'600'000;
constexpr MonotonicTime Start{ seconds(100) };

class MemoryBudgetTest : public testing::Test
{
protected:
    MemoryBudgetTest() { m_budget.setLimits(Capacity, 3); }

    ConnectionAccount &addConnection(MonotonicTime now)
    {
        const std::size_t index = m_accounts.size();
        m_accounts.push_back(std::make_unique<ConnectionAccount>(m_budget, now, [this, index] {
            m_evicted.push_back(index);
            m_budget.remove(std::exchange(m_bodies[index], 0));
        }));
        return *m_accounts.back();
    }
    /// Lets the body of a connection grow, and returns whether there was room.
    bool grow(std::size_t index, std::size_t bytes, MonotonicTime now)
    {
        const bool isAdmitted = m_accounts[index]->admitsBody(m_bodies[index] + bytes, bytes, now);
        if (isAdmitted) {
            m_bodies[index] += bytes;
            m_budget.add(bytes);
        }
        return isAdmitted;
    }

    MemoryBudget m_budget;
    std::vector<std::size_t> m_evicted;
    std::vector<std::size_t> m_bodies = std::vector<std::size_t>(8);
    std::vector<std::unique_ptr<ConnectionAccount>> m_accounts;
};

// Guards against large bodies that leave no room for small requests.
TEST_F(MemoryBudgetTest, SmallBodiesHaveAReserve)
{
    addConnection(Start);
    addConnection(Start);
    ASSERT_TRUE(grow(0, 1'400'000, Start));
    EXPECT_FALSE(grow(0, 200'000, Start));
    EXPECT_FALSE(grow(1, 200'000, Start));
    EXPECT_TRUE(grow(1, 16'384, Start));
    EXPECT_EQ(m_budget.counts().refusedRequests, 2u);
    EXPECT_TRUE(m_evicted.empty());
}

// Guards against a slow upload that is closed while there is room, and against stalled ones that
// keep memory which others need.
TEST_F(MemoryBudgetTest, StalledConnectionsAreClosedOnlyForOthers)
{
    addConnection(Start);
    addConnection(Start);
    ASSERT_TRUE(grow(0, 1'000'000, Start));
    const MonotonicTime later = Start + MemoryBudget::StallTime;
    EXPECT_TRUE(grow(1, 400'000, later));
    EXPECT_TRUE(m_evicted.empty());
    EXPECT_TRUE(grow(1, 400'000, later));
    EXPECT_EQ(m_evicted, std::vector<std::size_t>{ 0 });
}

// Guards against the end of a request in progress, whose client waits for its response and can do
// nothing about what its connection holds.
TEST_F(MemoryBudgetTest, ClientThatWaitsForItsResponseIsNotStalled)
{
    ConnectionAccount &waiting = addConnection(Start);
    addConnection(Start);
    ASSERT_TRUE(grow(0, 1'000'000, Start));
    waiting.setBusy(true);
    const MonotonicTime later = Start + MemoryBudget::StallTime;
    EXPECT_FALSE(grow(1, 800'000, later));
    EXPECT_TRUE(m_evicted.empty());
    // Its response waits to be read now.
    waiting.setWriting(true);
    EXPECT_TRUE(grow(1, 800'000, later));
    EXPECT_EQ(m_evicted, std::vector<std::size_t>{ 0 });
}

// Guards against a client that keeps memory by sending single bytes.
TEST_F(MemoryBudgetTest, SingleBytesAreNoProgress)
{
    addConnection(Start);
    addConnection(Start);
    ASSERT_TRUE(grow(0, 1'000'000, Start));
    const MonotonicTime later = Start + MemoryBudget::StallTime;
    ASSERT_TRUE(grow(0, 1, later));
    EXPECT_TRUE(grow(1, 800'000, later));
    EXPECT_EQ(m_evicted, std::vector<std::size_t>{ 0 });
}

// Guards against clients that take all descriptors, and against closing a connection whose request
// is in progress.
TEST_F(MemoryBudgetTest, TheLongestIdleConnectionIsClosedForANewOne)
{
    addConnection(Start).setBusy(true);
    addConnection(Start + seconds(1));
    addConnection(Start + seconds(2));
    addConnection(Start + seconds(3));
    EXPECT_EQ(m_evicted, std::vector<std::size_t>{ 1 });
}

// Guards against a limit below the largest body that operators allow.
TEST_F(MemoryBudgetTest, TheLargestBodyFitsOnEveryMachine)
{
    for (const std::uint64_t megabytes : { 1, 100, 160, 512 }) {
        m_budget.configure(megabytes, 4'100);
        m_accounts.clear();
        addConnection(Start);
        EXPECT_TRUE(m_accounts[0]->admitsBody(MemoryBudget::LargestBodyBytes,
                                              MemoryBudget::LargestBodyBytes, Start))
                << megabytes;
    }
}

// Guards against a refusal for lack of memory of a request that was passed on, and against memory
// that stays counted after its connection has ended.
TEST(MemoryRefusalTest, RequestsWithoutRoomAreRefusedTruthfully)
{
    EventLoop loop;
    MemoryBudget &budget = MemoryBudget::ofProcess();
    const std::size_t before = budget.counts().heldBytes;
    budget.setLimits(before + 100'000, 100);
    int requests = 0;
    {
        const HttpServer server(loop, "127.0.0.1", 0, HttpServerLimits{},
                                [&requests](const HttpExchangePtr &exchange) {
                                    ++requests;
                                    exchange->reply(200, {}, std::string(exchange->body()));
                                });
        RawSocket large(loop, server.port());
        large.send("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 500000\r\n\r\n"
                   + std::string(500'000, 'x'));
        RawSocket small(loop, server.port());
        small.send("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 4\r\n\r\nbody");
        const Timer limit = loop.schedule(seconds(20), [] { FAIL() << "no responses"; });
        while (large.received().find("\r\n\r\n") == std::string::npos
               || !small.received().ends_with("body")) {
            event_base_loop(loop.base(), EVLOOP_ONCE);
        }
        EXPECT_THAT(large.received(), HasSubstr("HTTP/1.1 503 "));
        EXPECT_THAT(large.received(), HasSubstr("\r\nRetry-After: "));
        EXPECT_THAT(small.received(), HasSubstr("HTTP/1.1 200 "));
        EXPECT_EQ(requests, 1);
    }
    EXPECT_EQ(budget.counts().heldBytes, before);
    budget.configure(MemoryBudget::DefaultMemoryMegabytes, MemoryBudget::DefaultMaxDescriptors);
}

// Guards against a crash or an accepted connection when all others are busy.
TEST(MemoryRefusalTest, AConnectionAboveTheMaximumIsClosed)
{
    EventLoop loop;
    MemoryBudget &budget = MemoryBudget::ofProcess();
    budget.setLimits(10'000'000, budget.counts().connections + 1);
    HttpExchangePtr busy;
    {
        const HttpServer server(loop, "127.0.0.1", 0, HttpServerLimits{},
                                [&busy](const HttpExchangePtr &exchange) { busy = exchange; });
        RawSocket first(loop, server.port());
        first.send("GET / HTTP/1.1\r\nHost: a\r\n\r\n");
        while (busy == nullptr) {
            event_base_loop(loop.base(), EVLOOP_ONCE);
        }
        const RawSocket second(loop, server.port());
        while (!second.isPeerClosed()) {
            event_base_loop(loop.base(), EVLOOP_ONCE);
        }
        busy->reply(200, {}, "done");
        while (!first.received().ends_with("done")) {
            event_base_loop(loop.base(), EVLOOP_ONCE);
        }
        EXPECT_EQ(server.connectionCount(), 1u);
        busy.reset();
    }
    budget.configure(MemoryBudget::DefaultMemoryMegabytes, MemoryBudget::DefaultMaxDescriptors);
}

// Guards against descriptors that are kept for callers which do not read their last response: these
// count as connections, and new connections displace them.
TEST(MemoryRefusalTest, LingeringConnectionsGiveWayToNewOnes)
{
    EventLoop loop;
    MemoryBudget &budget = MemoryBudget::ofProcess();
    const std::size_t before = budget.counts().connections;
    budget.setLimits(10'000'000, before + 1);
    {
        const HttpServer server(
                loop, "127.0.0.1", 0, HttpServerLimits{}, [](const HttpExchangePtr &exchange) {
                    exchange->reply(200, {},
                                    exchange->path() == "/" ? std::string(60'000, 'x') : "done");
                });
        RawSocket silent(loop, server.port(), 4'096);
        silent.stopReading();
        silent.send("GET / HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n");
        while (server.lingeringCount() == 0) {
            event_base_loop(loop.base(), EVLOOP_ONCE);
        }
        EXPECT_EQ(server.connectionCount(), 0u);
        EXPECT_EQ(budget.counts().connections, before + 1);
        RawSocket next(loop, server.port());
        next.send("GET /next HTTP/1.1\r\nHost: a\r\n\r\n");
        while (!next.received().ends_with("done") && !next.isPeerClosed()) {
            event_base_loop(loop.base(), EVLOOP_ONCE);
        }
        EXPECT_THAT(next.received(), HasSubstr("done"));
        EXPECT_EQ(server.lingeringCount(), 0u);
    }
    EXPECT_EQ(budget.counts().connections, before);
    budget.configure(MemoryBudget::DefaultMemoryMegabytes, MemoryBudget::DefaultMaxDescriptors);
}

} // namespace
} // namespace Tarragon
