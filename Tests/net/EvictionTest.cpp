// Connections that are closed because their memory or their descriptors are needed for others.

#include "Support/LoopTest.h"
#include "Support/PromptCaller.h"
#include "net/HttpServer.h"
#include "net/MemoryBudget.h"

#include <cstddef>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace Tarragon {
namespace {

constexpr std::string_view Get = "GET / HTTP/1.1\r\nHost: a\r\n\r\n";
constexpr std::size_t Capacity = 1'000'000'000;
constexpr std::size_t MaxConnections = 100;
constexpr int ReceiveBuffer = 4'096;
/// Above what the system buffers for a connection.
constexpr std::size_t StreamSize = 20'000'000;

/// A server whose responses are sent by the test, under the budget of the process.
class EvictionTest : public LoopTest
{
protected:
    EvictionTest() { m_budget.setLimits(Capacity, MaxConnections); }
    ~EvictionTest() override
    {
        m_budget.configure(MemoryBudget::DefaultMemoryMegabytes,
                           MemoryBudget::DefaultMaxDescriptors);
    }

    /// Sends a request and waits until it has been passed to the handler.
    HttpExchangePtr request(PromptCaller &caller)
    {
        const std::size_t n = m_exchanges.size();
        caller.send(Get);
        runUntil([this, n] { return m_exchanges.size() > n; });
        return m_exchanges.at(n);
    }
    /// Sends a request and waits for the response.
    void askOnce(PromptCaller &caller)
    {
        request(caller)->reply(200, {}, "done");
        runUntil([&caller] {
            caller.receive();
            return caller.received().ends_with("done");
        });
    }
    /// Permits no connection beyond those that are open.
    void permitNoFurtherConnection()
    {
        m_budget.setLimits(Capacity, m_budget.counts().connections);
    }
    /// Permits a little less than what is held.
    void reduceCapacity()
    {
        m_budget.setLimits(m_budget.counts().heldBytes - 1'000, MaxConnections);
    }
    /// Starts a response that the caller does not read.
    void stream(PromptCaller &caller)
    {
        const HttpExchangePtr exchange = request(caller);
        exchange->startReply(200, {});
        exchange->send(std::string(StreamSize, 'x'));
    }

    MemoryBudget &m_budget = MemoryBudget::ofProcess();
    std::vector<HttpExchangePtr> m_exchanges;
    HttpServer m_server{ m_loop, "127.0.0.1", 0, HttpServerLimits{},
                         [this](const HttpExchangePtr &exchange) {
                             m_exchanges.push_back(exchange);
                         } };
};

// Guards against a request that is read after its connection was chosen to be closed, is passed to
// the handler, and is reset in the same iteration of the loop.
TEST_F(EvictionTest, RequestOfAnEvictedConnectionIsNotPassedOn)
{
    PromptCaller idle(m_server.port());
    askOnce(idle);
    permitNoFurtherConnection();
    std::unique_ptr<PromptCaller> next;
    m_loop.post([&] {
        next = std::make_unique<PromptCaller>(m_server.port());
        idle.send(Get);
    });
    runUntil([&] { return next != nullptr && (m_exchanges.size() == 2 || !idle.receive()); });
    runFor(milliseconds(20));
    EXPECT_TRUE(m_exchanges.size() == 1 || !m_exchanges[1]->isEnded());
}

// Guards against a complete response that is destroyed on its way although another idle connection
// has nothing to lose.
TEST_F(EvictionTest, ConnectionWithoutUnacknowledgedBytesIsClosedFirst)
{
    static constexpr std::size_t BodySize = 100'000;
    PromptCaller reading(m_server.port(), ReceiveBuffer);
    request(reading)->reply(200, {}, std::string(BodySize - 3, 'x') + "end");
    runUntil([this] { return m_server.exchangesInProgress() == 0; });
    PromptCaller idle(m_server.port());
    askOnce(idle);
    permitNoFurtherConnection();
    const PromptCaller next(m_server.port());
    const Timer reader = m_loop.scheduleEvery(milliseconds(1), [&reading] { reading.receive(); });
    runUntil([&reading] { return reading.isReset() || reading.received().ends_with("end"); });
    EXPECT_FALSE(reading.isReset());
}

// Guards against a caller that is taken for stalled after a pause although it has read all the
// time.
TEST_F(EvictionTest, CallerThatReadsDuringAPauseIsNotStalled)
{
    PromptCaller reading(m_server.port(), ReceiveBuffer);
    stream(reading);
    PromptCaller other(m_server.port());
    runUntil([this] { return m_server.connectionCount() == 2; });
    runFor(milliseconds(100));
    reduceCapacity();
    bool isOver = false;
    m_loop.post([&] {
        other.send(Get);
        const MonotonicTime end = m_loop.now() + MemoryBudget::StallTime;
        while (m_loop.now() <= end) {
            reading.receive();
        }
        isOver = true;
    });
    runUntil([&isOver] { return isOver; });
    runUntil([this, &other] { return m_exchanges.size() == 2 || !other.receive(); });
    runFor(milliseconds(20));
    EXPECT_FALSE(m_exchanges[0]->isEnded());
}

// Guards against a caller that is taken for stalled because the first of its pipelined requests has
// no response yet, so that the others are held.
TEST_F(EvictionTest, CallerWithHeldResponsesIsNotStalled)
{
    PromptCaller waiting(m_server.port());
    waiting.send(std::string(Get) + std::string(Get));
    runUntil([this] { return m_exchanges.size() == 2; });
    m_exchanges[1]->reply(200, {}, std::string(100'000, 'x'));
    PromptCaller other(m_server.port());
    runFor(MemoryBudget::StallTime);
    reduceCapacity();
    other.send(Get);
    runUntil([this, &other] {
        other.receive();
        return m_exchanges.size() == 3 || !other.received().empty();
    });
    runFor(milliseconds(20));
    EXPECT_FALSE(m_exchanges[0]->isEnded());
}

// Guards against one request that closes all connections without progress, since the first of them
// releases its memory only later, and that is refused all the same.
TEST_F(EvictionTest, OneRequestClosesNoMoreThanItNeeds)
{
    std::vector<std::unique_ptr<PromptCaller>> stalled;
    for (int i = 0; i < 3; ++i) {
        stalled.push_back(std::make_unique<PromptCaller>(m_server.port(), ReceiveBuffer));
        stream(*stalled.back());
    }
    PromptCaller other(m_server.port());
    askOnce(other);
    runFor(MemoryBudget::StallTime + milliseconds(500));
    reduceCapacity();
    const MemoryBudgetCounts before = m_budget.counts();
    const std::size_t n = m_exchanges.size();
    other.send(Get);
    runUntil([&] {
        other.receive();
        return m_exchanges.size() > n || !other.received().ends_with("done");
    });
    runFor(milliseconds(20));
    EXPECT_EQ(m_budget.counts().closedForMemory - before.closedForMemory, 1u);
    EXPECT_EQ(m_budget.counts().refusedRequests, before.refusedRequests);
}

} // namespace
} // namespace Tarragon
