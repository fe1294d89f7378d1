#include "Support/LoopTest.h"
#include "Support/PromptCaller.h"
#include "net/HttpServer.h"

#include <gmock/gmock.h>

#include <algorithm>
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

    /// Sends requests for the paths /1, /2 and so on, and awaits as many exchanges as are passed
    /// on.
    void sendGets(PromptCaller &caller, std::size_t count)
    {
        std::string bytes;
        for (std::size_t i = 1; i <= count; ++i) {
            bytes += get("/" + std::to_string(i));
        }
        caller.send(bytes);
        awaitExchanges(std::min(count, MaxInProgress));
        processInput();
    }
    static HttpServerLimits limits()
    {
        HttpServerLimits limits;
        limits.idleTimeout = milliseconds(100);
        return limits;
    }

    std::vector<HttpExchangePtr> m_exchanges;
    /// Number of exchanges that emitted disconnected().
    std::size_t m_disconnected = 0;
    std::unique_ptr<HttpServer> m_server = std::make_unique<HttpServer>(
            m_loop, "127.0.0.1", 0, limits(), [this](const HttpExchangePtr &exchange) {
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

// Guards against input that is not noticed while evhttp writes a response, when it has no read
// callback, also if the rest of the head arrives later.
TEST_F(PipelinedExchangeTest, RequestDuringAStreamedResponseIsPassedOn)
{
    PromptCaller caller(m_server->port());
    sendGets(caller, 1);
    m_exchanges[0]->startReply(200, {});
    m_exchanges[0]->send("part");
    awaitText(caller, "part");
    caller.send(get("/2") + get("/3").substr(0, 20));
    awaitExchanges(2);
    m_exchanges[0]->send("more");
    caller.send(get("/3").substr(20));
    awaitExchanges(3);
    respond(2);
    respond(1);
    m_exchanges[0]->finish();
    awaitText(caller, "[/3]");
    EXPECT_LT(caller.received().find("[/2]"), caller.received().find("[/3]"));
}

// Guards against a connection that occupies any number of slots of the targets.
TEST_F(PipelinedExchangeTest, NumberOfRequestsAheadIsLimited)
{
    PromptCaller caller(m_server->port());
    sendGets(caller, 12);
    EXPECT_EQ(m_exchanges.size(), MaxInProgress);
    EXPECT_EQ(m_server->exchangesInProgress(), MaxInProgress);
    respond(5);
    processInput();
    EXPECT_EQ(m_exchanges.size(), MaxInProgress);
    respond(0);
    awaitExchanges(MaxInProgress + 1);
    processInput();
    EXPECT_EQ(m_exchanges.size(), MaxInProgress + 1);
    for (std::size_t i = 1; i < 12; ++i) {
        awaitExchanges(i + 1);
        respond(i);
    }
    awaitText(caller, "[/12]");
}

// Guards against memory that grows without limit behind a slow response, and against a sender that
// was paused because of held responses and is never resumed.
TEST_F(PipelinedExchangeTest, HeldBytesAreCountedAndLimited)
{
    PromptCaller caller(m_server->port());
    sendGets(caller, 3);
    std::size_t drained = 0;
    m_exchanges[2]->drained().connect([&drained] { ++drained; });
    m_exchanges[1]->startReply(200, {});
    m_exchanges[1]->send(std::string(300'000, 'x'));
    m_exchanges[2]->startReply(200, {});
    EXPECT_EQ(m_exchanges[2]->bufferedBytes(), 300'000u);
    EXPECT_EQ(m_exchanges[0]->bufferedBytes(), 0u);
    caller.send(get("/4"));
    processInput();
    EXPECT_EQ(m_exchanges.size(), 3u);
    m_exchanges[1]->finish();
    respond(0);
    awaitExchanges(4);
    const Timer wake = m_loop.scheduleEvery(milliseconds(1), [] {});
    runUntil([&] {
        caller.receive();
        return drained == 1;
    });
    m_exchanges[2]->finish();
    respond(3);
    awaitText(caller, "[/4]");
}

// Guards against a malformed request that is rejected before the requests in front of it, or that
// ends them.
TEST_F(PipelinedExchangeTest, MalformedRequestIsRejectedInTurn)
{
    PromptCaller caller(m_server->port());
    caller.send(get("/1") + get("/2") + "GET / HTTP/1.1\r\n\r\n" + get("/4"));
    awaitExchanges(2);
    processInput();
    respond(1);
    respond(0);
    awaitClose(caller);
    EXPECT_LT(caller.received().find("[/2]"), caller.received().find("HTTP/1.1 400 "));
    EXPECT_THAT(caller.received(), HasSubstr("HTTP/1.1 400 "));
    EXPECT_THAT(paths(), ElementsAre("/1", "/2"));
    EXPECT_FALSE(caller.isReset());
}

class WaitingRequestTest : public PipelinedExchangeTest,
                           public testing::WithParamInterface<std::string>
{};

// Guards against passing on requests that may change state, or that decide how the connection goes
// on, while another request is in progress; and against passing on requests behind these.
TEST_P(WaitingRequestTest, IsNotPassedOnAheadAndNothingBehindIt)
{
    PromptCaller caller(m_server->port());
    caller.send(get("/1") + GetParam() + get("/3"));
    awaitExchanges(1);
    processInput();
    EXPECT_EQ(m_exchanges.size(), 1u);
    respond(0);
    awaitExchanges(2);
    processInput();
    EXPECT_THAT(paths(), ElementsAre("/1", "/2"));
    respond(1);
    awaitText(caller, "[/2]");
}

INSTANTIATE_TEST_SUITE_P(Kinds, WaitingRequestTest,
                         testing::Values(request("POST /2", "Content-Length: 1\r\n") + "x",
                                         request("DELETE /2"),
                                         request("GET /2", "Connection: close\r\n"),
                                         std::string("GET /2 HTTP/1.0\r\n\r\n")));

// Guards against an interim response that is sent before the responses to earlier requests.
TEST_F(PipelinedExchangeTest, RequestWithExpectationWaits)
{
    PromptCaller caller(m_server->port());
    caller.send(get("/1") + request("GET /2", "Expect: 100-continue\r\n"));
    awaitExchanges(1);
    processInput();
    EXPECT_EQ(m_exchanges.size(), 1u);
    respond(0);
    awaitExchanges(2);
    respond(1);
    awaitText(caller, "[/2]");
}

// Guards against work that goes on for a caller that is gone, also if the handler of one exchange
// destroys another one.
TEST_F(PipelinedExchangeTest, DisconnectEndsAllExchanges)
{
    std::unique_ptr<PromptCaller> caller = std::make_unique<PromptCaller>(m_server->port());
    sendGets(*caller, 4);
    m_exchanges[1]->startReply(200, {});
    m_exchanges[2]->disconnected().connect([this] { m_exchanges[3].reset(); });
    caller.reset();
    runUntil([this] { return m_server->connectionCount() == 0; });
    EXPECT_EQ(m_disconnected, 3u);
    EXPECT_TRUE(m_exchanges[0]->isEnded() && m_exchanges[1]->isEnded());
    EXPECT_EQ(m_server->exchangesInProgress(), 0u);
    m_exchanges[1]->send("ignored");
    respond(2);
}

// Guards against a failed request that destroys the responses in front of it, and against parts of
// a failed response that look like a complete one.
TEST_F(PipelinedExchangeTest, AbortedExchangeClosesTheConnectionInTurn)
{
    PromptCaller caller(m_server->port());
    sendGets(caller, 3);
    m_exchanges[1]->startReply(200, {});
    m_exchanges[1]->send("part");
    m_exchanges[1]->abort();
    caller.send(get("/4"));
    processInput();
    EXPECT_EQ(m_server->exchangesInProgress(), 3u);
    EXPECT_EQ(m_disconnected, 0u);
    respond(0);
    awaitClose(caller);
    EXPECT_THAT(caller.received(), testing::EndsWith("[/1]"));
    EXPECT_FALSE(caller.isReset());
    EXPECT_EQ(m_disconnected, 1u);
    EXPECT_THAT(paths(), ElementsAre("/1", "/2", "/3"));
    EXPECT_EQ(m_server->exchangesInProgress(), 0u);
}

// Guards against a truncated response that is followed by others, and against exchanges that stay
// open behind it.
TEST_F(PipelinedExchangeTest, ResetOfTheFirstEndsTheOthers)
{
    PromptCaller caller(m_server->port());
    sendGets(caller, 3);
    respond(1);
    m_exchanges[0]->startReply(200, {});
    m_exchanges[0]->send("part");
    m_exchanges[0]->abort();
    EXPECT_TRUE(m_exchanges[2]->isEnded());
    EXPECT_EQ(m_disconnected, 1u);
    awaitClose(caller);
    EXPECT_TRUE(caller.isReset());
    EXPECT_THAT(caller.received(), Not(HasSubstr("[/2]")));
}

// Guards against a planned stop that loses requests that were passed on: the close must be
// announced by the last of the responses, and the server is not quiet before.
TEST_F(PipelinedExchangeTest, PlannedStopAnswersAllRequestsThatWerePassedOn)
{
    PromptCaller caller(m_server->port());
    sendGets(caller, 3);
    respond(1);
    m_server->closeAfterResponses();
    m_server->stopListening();
    caller.send(get("/4"));
    processInput();
    EXPECT_FALSE(m_server->isQuiet());
    EXPECT_EQ(m_server->exchangesInProgress(), 3u);
    respond(0);
    awaitText(caller, "[/2]");
    EXPECT_FALSE(m_server->isQuiet());
    EXPECT_THAT(caller.received(), Not(HasSubstr("Connection: close")));
    respond(2);
    awaitClose(caller);
    EXPECT_THAT(caller.received(), testing::EndsWith("[/3]"));
    EXPECT_THAT(caller.received(), HasSubstr("Connection: close"));
    EXPECT_EQ(m_exchanges.size(), 3u);
    runUntil([this] { return m_server->isQuiet(); });
}

// Guards against a handler's "Connection: close" that cuts off the responses behind it.
TEST_F(PipelinedExchangeTest, CloseOfAHandlerIsLeftToTheLastResponse)
{
    for (const std::size_t closing : { 0U, 1U }) {
        m_exchanges.clear();
        PromptCaller caller(m_server->port());
        sendGets(caller, 3);
        HttpHeaders headers;
        headers.add("Connection", "close");
        m_exchanges[closing]->reply(200, headers, "[closing]");
        caller.send(get("/4"));
        processInput();
        respond(1 - closing);
        respond(2);
        awaitClose(caller);
        EXPECT_THAT(caller.received(), testing::EndsWith("[/3]"));
        EXPECT_GT(caller.received().find("Connection: close"),
                  caller.received().find(closing == 1 ? "[closing]" : "[/2]"));
        EXPECT_EQ(m_exchanges.size(), 3u);
    }
}

// Guards against an idle timeout that ends a connection while a pipelined request is unanswered.
// The end of an idle connection that is opened later shows that the time has passed.
TEST_F(PipelinedExchangeTest, IdleTimeoutDoesNotEndRequestsAhead)
{
    PromptCaller caller(m_server->port());
    sendGets(caller, 2);
    for (std::size_t i = 0; i < 2; ++i) {
        PromptCaller idle(m_server->port());
        awaitClose(idle);
        EXPECT_FALSE(m_exchanges[i]->isEnded());
        respond(i);
        awaitText(caller, "[/" + std::to_string(i + 1) + "]");
    }
    // Afterwards the connection is idle again.
    awaitClose(caller);
}

// Guards against limits that are fixed when a connection is opened.
TEST_F(PipelinedExchangeTest, RaisedLimitAppliesToRequestsAhead)
{
    PromptCaller caller(m_server->port());
    sendGets(caller, 1);
    HttpServerLimits raised = limits();
    raised.headerBytes = ByteCount{ 30'000 };
    m_server->setLimits(raised);
    caller.send(request("GET /2", "A: " + std::string(20'000, 'a') + "\r\n"));
    awaitExchanges(2);
    respond(1);
    respond(0);
    awaitText(caller, "[/2]");
}

// Guards against framing that differs between held responses and others: lengths of responses to
// HEAD, streams with and without a length, and lengths that do not fit.
TEST_F(PipelinedExchangeTest, HeldResponsesAreFramedLikeOthers)
{
    PromptCaller caller(m_server->port());
    caller.send(get("/1") + request("HEAD /2") + get("/3") + get("/4") + get("/5"));
    awaitExchanges(5);
    m_exchanges[1]->reply(200, {}, "12345678901");
    m_exchanges[2]->startReply(200, {});
    m_exchanges[2]->send("abc");
    HttpHeaders headers;
    headers.add("Content-Length", "4");
    m_exchanges[3]->startReply(200, headers);
    m_exchanges[3]->send("de");
    m_exchanges[4]->startReply(200, headers);
    EXPECT_ANY_THROW(m_exchanges[4]->send("longer"));
    m_exchanges[1].reset();
    respond(0);
    awaitText(caller, "3\r\nabc\r\n");
    m_exchanges[2]->finish();
    awaitText(caller, "\r\n\r\nde");
    m_exchanges[3]->send("fg");
    m_exchanges[3]->finish();
    awaitClose(caller);
    EXPECT_THAT(caller.received(),
                testing::ContainsRegex("Length: 11\r\nDate: [^\r]*\r\n\r\nHTTP/1.1 200 OK"));
    EXPECT_THAT(caller.received(), HasSubstr("3\r\nabc\r\n0\r\n\r\n"));
    EXPECT_THAT(caller.received(),
                testing::ContainsRegex("Length: 4\r\nDate: [^\r]*\r\n\r\ndefg$"));
}

} // namespace
} // namespace Tarragon
