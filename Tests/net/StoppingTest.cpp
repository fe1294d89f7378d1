#include "Support/LoopTest.h"
#include "Support/PromptCaller.h"
#include "net/HttpServer.h"

#include <gmock/gmock.h>

#include <string>
#include <string_view>

namespace Tarragon {
namespace {

using testing::HasSubstr;

constexpr std::string_view Request = "GET / HTTP/1.1\r\nHost: a\r\n\r\n";

/// A server that is to end, and answers at once.
class StoppingTest : public LoopTest
{
protected:
    /// Runs the loop until the caller has got this, or has lost its connection.
    void awaitAnswer(PromptCaller &caller)
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

// Guards against callers whose connection the kernel has accepted, and which get a reset in place
// of an answer because the process closes its listener.
TEST_F(StoppingTest, WaitingConnectionsAreAcceptedBeforeTheListenerCloses)
{
    PromptCaller first(m_server.port());
    PromptCaller second(m_server.port());
    first.send(Request);
    m_server.stopListening();
    second.send(Request);
    awaitAnswer(first);
    awaitAnswer(second);
    runUntil([this] { return m_server.isQuiet(); });
}

// Guards against a process that ends while it reads a request.
TEST_F(StoppingTest, RequestThatArrivesIsAnsweredBeforeTheEnd)
{
    PromptCaller caller(m_server.port());
    caller.send(Request.substr(0, 20));
    m_server.stopListening();
    runUntil([this] { return m_server.connectionCount() == 1; });
    EXPECT_FALSE(m_server.isQuiet());
    caller.send(Request.substr(20));
    awaitAnswer(caller);
    runUntil([this] { return m_server.isQuiet(); });
}

// Guards against a process that ends between a request's arrival and the loop's next turn.
TEST_F(StoppingTest, ArrivedBytesCountBeforeTheyAreRead)
{
    PromptCaller caller(m_server.port());
    caller.send(Request);
    awaitAnswer(caller);
    m_server.stopListening();
    EXPECT_TRUE(m_server.isQuiet());
    caller.send(Request.substr(0, 1));
    EXPECT_FALSE(m_server.isQuiet());
}

// Guards against a stop that waits for a connection on which nothing is ever asked.
TEST_F(StoppingTest, SilentConnectionsDelayTheEndForAShortTimeOnly)
{
    const PromptCaller caller(m_server.port());
    runUntil([this] { return m_server.connectionCount() == 1; });
    m_server.stopListening();
    EXPECT_FALSE(m_server.isQuiet());
    const Timer wake = m_loop.scheduleEvery(milliseconds(1), [] {});
    runUntil([this] { return m_server.isQuiet(); });
}

} // namespace
} // namespace Tarragon
