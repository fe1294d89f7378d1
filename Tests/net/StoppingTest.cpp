#include "Support/LoopTest.h"
#include "Support/PromptCaller.h"
#include "net/HttpServer.h"

#include <gmock/gmock.h>

#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace Tarragon {
namespace {

using testing::HasSubstr;

constexpr std::string_view Request = "GET / HTTP/1.1\r\nHost: a\r\n\r\n";

/// A server that responds at once and that the tests shut down.
class StoppingTest : public LoopTest
{
protected:
    /// Runs the loop until the caller has received the response or lost its connection, and checks
    /// that it received the response.
    void awaitResponse(PromptCaller &caller)
    {
        const Timer wake = m_loop.scheduleEvery(milliseconds(1), [] {});
        runUntil([&caller] {
            return !caller.receive() || caller.received().find("done") != std::string::npos;
        });
        EXPECT_THAT(caller.received(), HasSubstr("done"));
        EXPECT_FALSE(caller.isReset());
    }

    HttpServer m_server{ m_loop, "127.0.0.1", 0, HttpServerLimits{},
                         [](const HttpExchangePtr &exchange) {
                             exchange->reply(200, {}, "done");
                         } };
};

// Guards against closing the listener while connections wait in its backlog: the kernel would reset
// them, although their callers have sent requests already.
TEST_F(StoppingTest, WaitingConnectionsAreAcceptedBeforeTheListenerCloses)
{
    PromptCaller first(m_server.port());
    PromptCaller second(m_server.port());
    first.send(Request);
    m_server.stopListening();
    second.send(Request);
    awaitResponse(first);
    awaitResponse(second);
    runUntil([this] { return m_server.isQuiet(); });
}

// Guards against a process that stops while a request is only partly received.
TEST_F(StoppingTest, PartlyReceivedRequestIsAnsweredBeforeTheEnd)
{
    PromptCaller caller(m_server.port());
    caller.send(Request.substr(0, 20));
    m_server.stopListening();
    runUntil([this] { return m_server.connectionCount() == 1; });
    EXPECT_FALSE(m_server.isQuiet());
    caller.send(Request.substr(20));
    awaitResponse(caller);
    runUntil([this] { return m_server.isQuiet(); });
}

// Guards against a process that stops after a request has arrived in the socket and before the
// loop's next iteration reads it.
TEST_F(StoppingTest, ArrivedBytesCountBeforeTheyAreRead)
{
    PromptCaller caller(m_server.port());
    caller.send(Request);
    awaitResponse(caller);
    m_server.stopListening();
    EXPECT_TRUE(m_server.isQuiet());
    caller.send(Request.substr(0, 1));
    EXPECT_FALSE(m_server.isQuiet());
}

// Guards against a shutdown that waits without end for a connection on which no request is sent.
TEST_F(StoppingTest, ConnectionsWithoutARequestDelayTheEndForAShortTimeOnly)
{
    const PromptCaller caller(m_server.port());
    runUntil([this] { return m_server.connectionCount() == 1; });
    m_server.stopListening();
    EXPECT_FALSE(m_server.isQuiet());
    const Timer wake = m_loop.scheduleEvery(milliseconds(1), [] {});
    runUntil([this] { return m_server.isQuiet(); });
}

// Guards against a process that stops after a pause although the rest of a request head has
// arrived.
TEST_F(StoppingTest, RestOfAHeadThatArrivedDuringAPauseCounts)
{
    HttpServerLimits limits;
    limits.headerTimeout = milliseconds(100);
    m_server.setLimits(limits);
    PromptCaller caller(m_server.port());
    caller.send(Request.substr(0, 20));
    runUntil([this] { return m_server.connectionCount() == 1; });
    runFor(milliseconds(20));
    m_server.stopListening();
    bool isQuiet = false;
    m_loop.post([&] {
        caller.send(Request.substr(20));
        // A new connection is expected to send its first request within 800 ms.
        const MonotonicTime end = m_loop.now() + milliseconds(1'000);
        while (m_loop.now() < end) {
        }
        isQuiet = m_server.isQuiet();
    });
    awaitResponse(caller);
    EXPECT_FALSE(isQuiet);
}

// Guards against connections that are reset in the backlog because the time for accepting them has
// passed during a pause. There are more ready connections than libevent returns from one poll.
TEST_F(StoppingTest, WaitingConnectionsAreAcceptedAfterAPause)
{
    std::vector<std::unique_ptr<PromptCaller>> open;
    for (int i = 0; i < 60; ++i) {
        open.push_back(std::make_unique<PromptCaller>(m_server.port()));
        open.back()->send(Request);
        awaitResponse(*open.back());
    }
    std::unique_ptr<PromptCaller> waiting;
    m_loop.post([&] {
        for (const std::unique_ptr<PromptCaller> &it : open) {
            it->send(Request);
        }
        waiting = std::make_unique<PromptCaller>(m_server.port());
        waiting->send(Request);
        m_server.stopListening();
        const MonotonicTime end = m_loop.now() + milliseconds(300);
        while (m_loop.now() < end) {
        }
    });
    runUntil([&waiting] { return waiting != nullptr; });
    awaitResponse(*waiting);
}

/// A server whose responses are larger than what its callers can receive without reading.
class UnreadResponseTest : public LoopTest
{
protected:
    static constexpr int ReceiveBuffer = 16'384;
    static constexpr std::size_t BodySize = 60'000;

    /// Sends a request and waits until the response was written to the server's socket.
    void request(PromptCaller &caller)
    {
        caller.send(Request);
        runUntil([this] { return m_responses == 1 && m_server->exchangesInProgress() == 0; });
    }
    static bool isWhole(const PromptCaller &caller)
    {
        return caller.received().size() > BodySize
               && testing::Value(caller.received(), testing::EndsWith("end"));
    }
    void readSlowly(PromptCaller &caller)
    {
        const Timer reader =
                m_loop.scheduleEvery(milliseconds(1), [&caller] { caller.receive(2'048); });
        runUntil([&caller] { return isWhole(caller); });
    }

    HttpServerLimits m_limits;
    int m_responses = 0;
    std::unique_ptr<HttpServer> m_server;

    void serve()
    {
        m_server = std::make_unique<HttpServer>(
                m_loop, "127.0.0.1", 0, m_limits, [this](const HttpExchangePtr &exchange) {
                    exchange->reply(200, {}, std::string(BodySize - 3, 'x') + "end");
                    ++m_responses;
                });
    }
};

// Guards against a process that ends while a caller reads its last response: a further request that
// arrives after the end would cut it.
TEST_F(UnreadResponseTest, DelaysTheEndAfterTheLastResponse)
{
    serve();
    std::optional<PromptCaller> caller(std::in_place, m_server->port(), ReceiveBuffer);
    m_server->closeAfterResponses();
    request(*caller);
    m_server->stopListening();
    runUntil([this] { return m_server->connectionCount() == 0; });
    EXPECT_EQ(m_server->lingeringCount(), 1u);
    EXPECT_FALSE(m_server->isQuiet());
    readSlowly(*caller);
    EXPECT_FALSE(m_server->isQuiet());
    caller.reset();
    runUntil([this] { return m_server->isQuiet(); });
}

// Guards against a process that ends while a caller reads a response on a connection that is kept.
TEST_F(UnreadResponseTest, DelaysTheEndOnAKeptConnection)
{
    serve();
    PromptCaller caller(m_server->port(), ReceiveBuffer);
    request(caller);
    m_server->stopListening();
    // A connection is not new any more once it has carried a response.
    EXPECT_FALSE(m_server->isQuiet());
    readSlowly(caller);
    const Timer wake = m_loop.scheduleEvery(milliseconds(1), [] {});
    runUntil([this] { return m_server->isQuiet(); });
    EXPECT_EQ(m_server->connectionCount(), 1u);
}

// Guards against a planned stop that waits without end for a caller that reads nothing.
TEST_F(UnreadResponseTest, CallerThatReadsNothingIsGivenUp)
{
    m_limits.linger.stallTime = milliseconds(50);
    serve();
    PromptCaller caller(m_server->port(), ReceiveBuffer);
    m_server->closeAfterResponses();
    request(caller);
    m_server->stopListening();
    runUntil([this] { return m_server->isQuiet(); });
    EXPECT_EQ(m_server->lingeringCount(), 0u);
}

} // namespace
} // namespace Tarragon
