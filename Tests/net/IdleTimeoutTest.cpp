// Requests that arrive while the connection's time is running out, or has run out without the
// server noticing.

#include "Support/LoopTest.h"
#include "Support/PromptCaller.h"
#include "net/ConnectionCloses.h"
#include "net/HttpServer.h"

#include <algorithm>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace Tarragon {
namespace {

constexpr std::string_view Get = "GET / HTTP/1.1\r\nHost: a\r\n\r\n";
constexpr milliseconds IdleTimeout{ 100 };
constexpr seconds RaisedTimeout{ 60 };
/// More than the sockets of both sides hold.
constexpr std::size_t BodySize = 8'000'000;

class IdleTimeoutTest : public LoopTest
{
protected:
    IdleTimeoutTest() { m_limits.idleTimeout = IdleTimeout; }

    std::unique_ptr<HttpServer> serve()
    {
        return std::make_unique<HttpServer>(
                m_loop, "127.0.0.1", 0, m_limits,
                [](const HttpExchangePtr &exchange) { exchange->reply(200, {}, "done"); });
    }

    /// Returns the number of responses that a caller has received.
    static std::size_t responses(const PromptCaller &caller)
    {
        std::size_t n = 0;
        for (std::size_t at = caller.received().find("done"); at != std::string::npos;
             at = caller.received().find("done", at + 1)) {
            ++n;
        }
        return n;
    }

    /// Sends a request and waits for the response.
    void askOnce(PromptCaller &caller)
    {
        const std::size_t n = responses(caller);
        caller.send(Get);
        runUntil([&caller, n] {
            caller.receive();
            return responses(caller) > n;
        });
    }

    /// Waits until a connection that starts to be idle now has been closed.
    void awaitIdleTimeout()
    {
        const std::unique_ptr<HttpServer> server = serve();
        PromptCaller caller(server->port());
        askOnce(caller);
        runUntil([&caller] { return !caller.receive(); });
    }

    /// Blocks the loop until the idle timeout of all connections has passed.
    void holdUpLoop()
    {
        const MonotonicTime end = m_loop.now() + 2 * IdleTimeout;
        while (m_loop.now() < end) {
        }
    }

    HttpServerLimits m_limits;
};

// Guards against connections that are closed as idle after a pause although requests have arrived
// in time. There are more of them than libevent returns from one poll.
TEST_F(IdleTimeoutTest, RequestsThatArrivedDuringAPauseAreAnswered)
{
    static constexpr std::size_t Count = 200;
    m_limits.idleTimeout = RaisedTimeout;
    const std::unique_ptr<HttpServer> server = serve();
    std::vector<std::unique_ptr<PromptCaller>> callers;
    for (std::size_t i = 0; i < Count; ++i) {
        callers.push_back(std::make_unique<PromptCaller>(server->port()));
        askOnce(*callers.back());
    }
    m_limits.idleTimeout = IdleTimeout;
    server->setLimits(m_limits);
    for (const std::unique_ptr<PromptCaller> &it : callers) {
        askOnce(*it);
    }
    m_loop.post([&] {
        for (const std::unique_ptr<PromptCaller> &it : callers) {
            it->send(Get);
        }
        holdUpLoop();
    });
    std::size_t open = Count;
    runUntil([&] {
        open = 0;
        std::size_t ended = 0;
        for (const std::unique_ptr<PromptCaller> &it : callers) {
            const bool isOpen = it->receive();
            open += isOpen || responses(*it) == 3 ? 1 : 0;
            ended += !isOpen || responses(*it) == 3 ? 1 : 0;
        }
        return ended == Count;
    });
    EXPECT_EQ(open, Count);
}

// Guards against a raised idle timeout that does not hold for connections that are idle already.
TEST_F(IdleTimeoutTest, RaisedTimeoutHoldsForIdleConnections)
{
    const std::unique_ptr<HttpServer> server = serve();
    PromptCaller caller(server->port());
    askOnce(caller);
    HttpServerLimits raised = m_limits;
    raised.idleTimeout = RaisedTimeout;
    server->setLimits(raised);
    awaitIdleTimeout();
    EXPECT_TRUE(caller.receive());
    EXPECT_EQ(server->connectionCount(), 1u);
}

// Guards against a caller that reads nothing and keeps its response for ever, and against a
// response cut by that time limit that looks complete because its end is that of the connection.
TEST_F(IdleTimeoutTest, ResponseThatIsNotReadEndsByAReset)
{
    m_limits.writeTimeout = IdleTimeout;
    HttpExchangePtr pending;
    HttpServer server(m_loop, "127.0.0.1", 0, m_limits, [&pending](const HttpExchangePtr &it) {
        pending = it;
        pending->startReply(200, {});
        pending->send(std::string(BodySize, 'x'));
    });
    PromptCaller caller(server.port());
    caller.send("GET / HTTP/1.0\r\n\r\n");
    runUntil([&] { return pending != nullptr && server.connectionCount() == 0; });
    EXPECT_TRUE(caller.isDisconnected());
}

// Guards against a short idle limit that cuts the response to a caller which pauses in reading.
TEST_F(IdleTimeoutTest, IdleLimitDoesNotCutAResponse)
{
    HttpServer server(m_loop, "127.0.0.1", 0, m_limits, [](const HttpExchangePtr &exchange) {
        exchange->reply(200, {}, std::string(BodySize, 'x'));
    });
    PromptCaller caller(server.port());
    caller.send(Get);
    awaitIdleTimeout();
    awaitIdleTimeout();
    bool isOpen = true;
    const Timer reader = m_loop.scheduleEvery(milliseconds(1), [&] { isOpen = caller.receive(); });
    runUntil([&] { return !isOpen || caller.received().size() > BodySize; });
    EXPECT_GT(caller.received().size(), BodySize);
}

// Guards against a request that is ended silently because it does not arrive in time.
TEST_F(IdleTimeoutTest, PartsOfARequestAreRefusedAtTheEndOfTheTimeLimit)
{
    m_limits.headerTimeout = IdleTimeout;
    const std::unique_ptr<HttpServer> server = serve();
    for (const std::string_view part :
         { "GET / HTTP/1.1\r\nHost:",
           "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 9\r\n\r\nx" }) {
        PromptCaller caller(server->port());
        caller.send(part);
        runUntil([&caller] { return !caller.receive(); });
        EXPECT_EQ(caller.received().substr(0, 13), "HTTP/1.1 408 ") << part;
    }
}

// Guards against raised limits on sizes that do not hold for open connections.
TEST_F(IdleTimeoutTest, RaisedSizesHoldForOpenConnections)
{
    m_limits.headerBytes = ByteCount{ 1'000 };
    m_limits.bodyBytes = ByteCount{ 1'000 };
    m_limits.idleTimeout = RaisedTimeout;
    const std::unique_ptr<HttpServer> server = serve();
    PromptCaller caller(server->port());
    askOnce(caller);
    m_limits.headerBytes = ByteCount{ 8'000 };
    m_limits.bodyBytes = ByteCount{ 8'000 };
    server->setLimits(m_limits);
    caller.send("POST / HTTP/1.1\r\nHost: a\r\nFiller: " + std::string(4'000, 'f')
                + "\r\nContent-Length: 7000\r\n\r\n" + std::string(7'000, 'x'));
    runUntil([&caller] { return !caller.receive() || responses(caller) == 2; });
    EXPECT_EQ(responses(caller), 2u);
}

// Guards against a request that crosses the close of its idle connection, is read all the same, and
// ends without a trace: its caller must see at once that it was not read.
TEST_F(IdleTimeoutTest, RequestThatCrossesTheCloseIsNotRead)
{
    const std::unique_ptr<HttpServer> server = serve();
    PromptCaller caller(server->port());
    askOnce(caller);
    const std::uint64_t before = ConnectionCloses::ofProcess().counts().unprocessedRequests;
    runUntil([&server] { return server->connectionCount() == 0; });
    caller.send(Get);
    runUntil([&server] { return server->lingeringCount() == 0; });
    EXPECT_TRUE(caller.isDisconnected());
    EXPECT_EQ(ConnectionCloses::ofProcess().counts().unprocessedRequests, before + 1);
}

// Guards against a crash when the loop is held up between the acceptance of a connection and its
// setup for longer than the idle timeout.
TEST_F(IdleTimeoutTest, ConnectionMayTimeOutBeforeItIsSetUp)
{
    bool isHeldUp = false;
    const HttpServer server(m_loop, "127.0.0.1", 0, m_limits,
                            [this, &isHeldUp](const HttpExchangePtr &exchange) {
                                if (isHeldUp) {
                                    holdUpLoop();
                                }
                                exchange->reply(200, {}, "done");
                            });
    PromptCaller idle(server.port());
    askOnce(idle);
    PromptCaller slow(server.port());
    askOnce(slow);
    std::unique_ptr<PromptCaller> accepted;
    m_loop.post([&] {
        holdUpLoop();
        isHeldUp = true;
        accepted = std::make_unique<PromptCaller>(server.port());
        slow.send(Get);
    });
    runUntil([&] { return accepted != nullptr && !accepted->receive(); });
}

// Guards against a whole request that was read behind the one in progress, and whose connection is
// closed as idle before its turn because the loop was held up.
TEST_F(IdleTimeoutTest, RequestThatWaitsForItsTurnIsNotIdle)
{
    std::vector<HttpExchangePtr> exchanges;
    const HttpServer server(
            m_loop, "127.0.0.1", 0, m_limits,
            [&exchanges](const HttpExchangePtr &exchange) { exchanges.push_back(exchange); });
    PromptCaller caller(server.port());
    const std::string post = "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 1\r\n\r\nx";
    caller.send(post + post);
    runUntil([&exchanges] { return exchanges.size() == 1; });
    // The connection whose time ends first, so that the queue's timer is due.
    const PromptCaller idle(server.port());
    runUntil([&server] { return server.connectionCount() == 2; });
    Timer holdUp;
    bool isHeldUp = false;
    m_loop.post([&] {
        holdUp = m_loop.schedule(microseconds(0), [&] {
            holdUpLoop();
            isHeldUp = true;
        });
        exchanges[0]->reply(200, {}, "done");
        holdUpLoop();
    });
    runUntil([&] { return exchanges.size() == 2 || (isHeldUp && server.connectionCount() == 0); });
    EXPECT_EQ(exchanges.size(), 2u);
}

} // namespace
} // namespace Tarragon
