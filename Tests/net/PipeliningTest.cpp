#include "Support/LoopTest.h"
#include "Support/PromptCaller.h"
#include "net/HttpServer.h"

#include <gmock/gmock.h>

#include <cstdlib>
#include <deque>
#include <random>
#include <string>
#include <string_view>
#include <vector>

namespace Tarragon {
namespace {

/// Returns the bodies of the responses in the text, in order. The handler puts each into brackets.
std::vector<std::string> responsesIn(const std::string &text)
{
    std::vector<std::string> answers;
    for (std::size_t at = text.find('['); at != std::string::npos; at = text.find('[', at + 1)) {
        answers.push_back(text.substr(at, text.find(']', at) + 1 - at));
    }
    return answers;
}

class PipeliningTest : public LoopTest
{
protected:
    std::unique_ptr<HttpServer> serve()
    {
        return std::make_unique<HttpServer>(m_loop, "127.0.0.1", 0, HttpServerLimits{},
                                            [this](const HttpExchangePtr &exchange) {
                                                m_requests.push_back(describe(exchange));
                                                m_inProgress.push_back(exchange);
                                            });
    }

    static std::string describe(const HttpExchangePtr &exchange)
    {
        return "[" + exchange->method() + " " + exchange->uri() + " "
               + std::string(exchange->body()) + "]";
    }

    /// Responds to the first of the exchanges in progress.
    void respond()
    {
        const HttpExchangePtr exchange = m_inProgress.front();
        m_inProgress.pop_front();
        exchange->reply(200, {}, describe(exchange));
    }

    void runLoopOnce() { event_base_loop(m_loop.base(), EVLOOP_ONCE | EVLOOP_NONBLOCK); }

    /// The requests that the handler received, as text.
    std::vector<std::string> m_requests;
    /// The exchanges in progress, which the test responds to.
    std::deque<HttpExchangePtr> m_inProgress;
};

std::string get(const std::string &path)
{
    return "GET " + path + " HTTP/1.1\r\nHost: a\r\n\r\n";
}

// Guards against reordered input: input that arrives between the end of a response and the next
// iteration of the loop must not be read before input that arrived earlier.
TEST_F(PipeliningTest, InputBetweenAResponseAndTheNextIterationStaysBehindEarlierInput)
{
    const std::unique_ptr<HttpServer> server = serve();
    PromptCaller caller(server->port());
    caller.send(get("/1"));
    runUntil([this] { return !m_inProgress.empty(); });
    caller.send(get("/2"));
    runLoopOnce();
    respond();
    caller.send(get("/3"));
    while (m_requests.size() < 3) {
        runUntil([this] { return !m_inProgress.empty(); });
        respond();
    }
    EXPECT_THAT(m_requests, testing::ElementsAre("[GET /1 ]", "[GET /2 ]", "[GET /3 ]"));
}

// Guards against bytes of one request being parsed as part of another one, which would permit
// request smuggling. The response is sent while the next request is only partly received.
TEST_F(PipeliningTest, PartsOfARequestBeforeAndAfterAResponseAreJoined)
{
    const std::string next = "POST /2 HTTP/1.1\r\nHost: a\r\nContent-Length: 40\r\n\r\n"
                             "GET /hidden HTTP/1.1\r\nHost: a\r\n\r\n1234567";
    for (std::size_t cut = 1; cut < next.size(); ++cut) {
        SCOPED_TRACE("cut at " + std::to_string(cut));
        m_requests.clear();
        const std::unique_ptr<HttpServer> server = serve();
        PromptCaller caller(server->port());
        caller.send(get("/1"));
        runUntil([this] { return !m_inProgress.empty(); });
        caller.send(next.substr(0, cut));
        runLoopOnce();
        respond();
        caller.send(next.substr(cut));
        runUntil([this] { return !m_inProgress.empty(); });
        respond();
        EXPECT_THAT(m_requests,
                    testing::ElementsAre("[GET /1 ]", "[POST /2 " + next.substr(49) + "]"));
        caller.send(get("/3"));
        runUntil([this] { return !m_inProgress.empty(); });
        EXPECT_EQ(m_requests.back(), "[GET /3 ]");
        m_inProgress.clear();
        runLoopOnce();
    }
}

/// Requests of a caller: the bytes to send, and the requests that the handler must receive.
struct Script
{
    std::string bytes;
    std::vector<std::string> expected;
};

Script drawScript(std::mt19937 &random, std::size_t requests)
{
    Script script;
    for (std::size_t i = 0; i < requests; ++i) {
        const std::string path = "/" + std::to_string(i);
        const std::string body(random() % 300, char('a' + i % 26));
        const std::string head = "POST " + path + " HTTP/1.1\r\nHost: a\r\n";
        switch (random() % 3) {
        case 0:
            script.bytes += get(path);
            script.expected.push_back("[GET " + path + " ]");
            continue;
        case 1:
            script.bytes += head + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n";
            script.bytes += body;
            break;
        default:
            script.bytes += head + "Transfer-Encoding: chunked\r\n\r\n";
            for (const char ch : body) {
                script.bytes += std::string("1\r\n") + ch + "\r\n";
            }
            script.bytes += "0\r\n\r\n";
        }
        std::string seen = "[POST ";
        seen.append(path).append(" ").append(body).append("]");
        script.expected.push_back(seen);
    }
    return script;
}

class PipeliningSeedTest : public PipeliningTest, public testing::WithParamInterface<unsigned int>
{};

// Guards against requests that are changed or reordered depending on how the input is split into
// segments and when each segment arrives. The split and the timing are random, drawn from the seed.
TEST_P(PipeliningSeedTest, RequestsAreCompleteAndInOrderForAnySegmentation)
{
    std::mt19937 random(GetParam());
    const std::size_t counts[] = { 2, 3, 50 };
    const Script script = drawScript(random, counts[GetParam() % 3]);
    const std::unique_ptr<HttpServer> server = serve();
    PromptCaller caller(server->port());
    std::size_t sent = 0;
    std::size_t answered = 0;
    while (answered < script.expected.size()) {
        const unsigned int action = random() % 4;
        if (action < 2 && sent < script.bytes.size()) {
            const std::size_t maxLength = random() % 8 == 0 ? 4'000 : 80;
            const std::string piece = script.bytes.substr(sent, 1 + random() % maxLength);
            caller.send(piece);
            sent += piece.size();
        } else if (action == 2 && !m_inProgress.empty()) {
            respond();
            ++answered;
        } else {
            runLoopOnce();
        }
        ASSERT_TRUE(caller.receive());
    }
    runUntil([&caller, &script] {
        caller.receive();
        return responsesIn(caller.received()).size() == script.expected.size();
    });
    EXPECT_EQ(m_requests, script.expected);
    EXPECT_EQ(responsesIn(caller.received()), script.expected);
    EXPECT_EQ(server->exchangesInProgress(), 0u);
}

INSTANTIATE_TEST_SUITE_P(Seeds, PipeliningSeedTest, testing::Range(1U, 121U));

// Guards against passing on a request that follows a response with "Connection: close": the caller
// will send such a request again, so that it would be executed twice.
TEST_F(PipeliningTest, RequestsAfterAClosingResponseAreNotPassedOn)
{
    const std::unique_ptr<HttpServer> server = serve();
    PromptCaller caller(server->port());
    caller.send(get("/1") + get("/2"));
    runUntil([this] { return m_inProgress.size() == 2; });
    server->closeAfterResponses();
    caller.send(get("/3"));
    runLoopOnce();
    respond();
    respond();
    caller.send(get("/4"));
    const Timer wake = m_loop.scheduleEvery(milliseconds(1), [] {});
    runUntil([&caller] { return !caller.receive(); });
    EXPECT_THAT(m_requests, testing::ElementsAre("[GET /1 ]", "[GET /2 ]"));
    EXPECT_THAT(responsesIn(caller.received()), testing::ElementsAre("[GET /1 ]", "[GET /2 ]"));
    // Only the last response announces the close; the caller drops what follows it.
    EXPECT_GT(caller.received().find("Connection: close"), caller.received().find("[GET /1 ]"));
    EXPECT_THAT(caller.received(), testing::HasSubstr("Connection: close"));
}

} // namespace
} // namespace Tarragon
