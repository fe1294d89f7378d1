#include "Support/LoopTest.h"
#include "Support/PromptCaller.h"
#include "net/HttpServer.h"

#include <gmock/gmock.h>

#include <memory>
#include <string>
#include <vector>

namespace Tarragon {
namespace {

using testing::ElementsAre;
using testing::HasSubstr;
using testing::Not;

/// Number of requests that a connection has in progress at most: one being answered and eight
/// behind it.
constexpr std::size_t MaxInProgress = 9;

std::string request(const std::string &line, const std::string &fields = "")
{
    return line + " HTTP/1.1\r\nHost: a\r\n" + fields + "\r\n";
}

std::string get(const std::string &path)
{
    return request("GET " + path);
}

/// A server whose exchanges stay open until the test responds to them.
class PipelinedExchangeTest : public LoopTest
{
protected:
    void awaitExchanges(std::size_t count)
    {
        runUntil([this, count] { return m_exchanges.size() >= count; });
    }
    /// Runs the loop until all input that the caller has sent is processed.
    void processInput()
    {
        static constexpr int EnoughIterations = 10;
        for (int i = 0; i < EnoughIterations; ++i) {
            event_base_loop(m_loop.base(), EVLOOP_ONCE | EVLOOP_NONBLOCK);
        }
    }
    /// Responds to an exchange with its path in brackets.
    void respond(std::size_t index)
    {
        m_exchanges.at(index)->reply(200, {}, "[" + m_exchanges.at(index)->path() + "]");
    }
    std::vector<std::string> paths() const
    {
        std::vector<std::string> paths;
        for (const HttpExchangePtr &it : m_exchanges) {
            paths.push_back(it->path());
        }
        return paths;
    }
    void awaitText(PromptCaller &caller, const std::string &text)
    {
        const Timer wake = m_loop.scheduleEvery(milliseconds(1), [] {});
        runUntil([&caller, &text] {
            caller.receive();
            return caller.received().find(text) != std::string::npos;
        });
    }
    void awaitClose(PromptCaller &caller)
    {
        const Timer wake = m_loop.scheduleEvery(milliseconds(1), [] {});
        runUntil([&caller] { return !caller.receive(); });
    }

    std::vector<HttpExchangePtr> m_exchanges;
    /// Number of exchanges that emitted disconnected().
    std::size_t m_disconnected = 0;
    std::unique_ptr<HttpServer> m_server = std::make_unique<HttpServer>(
            m_loop, "127.0.0.1", 0, HttpServerLimits{}, [this](const HttpExchangePtr &exchange) {
                m_exchanges.push_back(exchange);
                exchange->disconnected().connect([this] { ++m_disconnected; });
            });
};

// Guards against head-of-line blocking: a request must not wait for the response to the one before
// it. A response that is ready early must still be written in its turn.
TEST_F(PipelinedExchangeTest, SecondRequestIsPassedOnAtOnceAndAnsweredInTurn)
{
    PromptCaller caller(m_server->port());
    caller.send(get("/1") + get("/2?q=v"));
    awaitExchanges(2);
    EXPECT_EQ(m_exchanges[1]->uri(), "/2?q=v");
    EXPECT_EQ(m_exchanges[1]->query("q"), "v");
    EXPECT_EQ(m_exchanges[1]->headers().find("Host"), "a");
    EXPECT_EQ(m_exchanges[1]->remoteAddress(), "127.0.0.1");
    EXPECT_EQ(m_exchanges[1]->body(), "");
    EXPECT_TRUE(m_exchanges[1]->supportsChunked());
    respond(1);
    processInput();
    caller.receive();
    EXPECT_EQ(caller.received(), "");
    EXPECT_EQ(m_server->exchangesInProgress(), 2u);
    respond(0);
    awaitText(caller, "[/2]");
    EXPECT_LT(caller.received().find("[/1]"), caller.received().find("[/2]"));
    processInput();
    EXPECT_EQ(m_server->exchangesInProgress(), 0u);
}

} // namespace
} // namespace Tarragon
