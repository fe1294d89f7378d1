#include "Support/LoopTest.h"
#include "Support/PromptCaller.h"
#include "net/HttpServer.h"

#include <gmock/gmock.h>

#include <cstdlib>
#include <random>
#include <string>
#include <string_view>
#include <vector>

namespace Tarragon {
namespace {

/// Markers that the handler puts around what it has read, in the order of the text.
std::vector<std::string> answersIn(const std::string &text)
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
                                                m_seen.push_back(describe(exchange));
                                                m_open = exchange;
                                            });
    }

    static std::string describe(const HttpExchangePtr &exchange)
    {
        return "[" + exchange->method() + " " + exchange->uri() + " " + exchange->body() + "]";
    }

    void answer()
    {
        const HttpExchangePtr exchange = std::move(m_open);
        m_open = nullptr;
        exchange->reply(200, {}, describe(exchange));
    }

    void turn() { event_base_loop(m_loop.base(), EVLOOP_ONCE | EVLOOP_NONBLOCK); }

    /// The requests that the handler got.
    std::vector<std::string> m_seen;
    /// The one that waits for its answer.
    HttpExchangePtr m_open;
};

std::string get(const std::string &path)
{
    return "GET " + path + " HTTP/1.1\r\nHost: a\r\n\r\n";
}

// Guards against input that arrives between the end of an answer and the next turn of the loop
// being read ahead of input that arrived before it.
TEST_F(PipeliningTest, InputBetweenAnAnswerAndTheNextTurnStaysBehindEarlierInput)
{
    const std::unique_ptr<HttpServer> server = serve();
    PromptCaller caller(server->port());
    caller.send(get("/1"));
    runUntil([this] { return m_open != nullptr; });
    caller.send(get("/2"));
    turn();
    answer();
    caller.send(get("/3"));
    while (m_seen.size() < 3) {
        runUntil([this] { return m_open != nullptr; });
        answer();
    }
    EXPECT_THAT(m_seen, testing::ElementsAre("[GET /1 ]", "[GET /2 ]", "[GET /3 ]"));
}

// Guards against bytes of one request that end up in another one: a caller could have its request
// hidden in somebody else's.
TEST_F(PipeliningTest, HalfARequestBeforeAnAnswerIsJoinedWithItsOtherHalf)
{
    const std::string next = "POST /2 HTTP/1.1\r\nHost: a\r\nContent-Length: 40\r\n\r\n"
                             "GET /hidden HTTP/1.1\r\nHost: a\r\n\r\n1234567";
    for (std::size_t cut = 1; cut < next.size(); ++cut) {
        SCOPED_TRACE("cut at " + std::to_string(cut));
        m_seen.clear();
        const std::unique_ptr<HttpServer> server = serve();
        PromptCaller caller(server->port());
        caller.send(get("/1"));
        runUntil([this] { return m_open != nullptr; });
        caller.send(next.substr(0, cut));
        turn();
        answer();
        caller.send(next.substr(cut));
        runUntil([this] { return m_open != nullptr; });
        answer();
        EXPECT_THAT(m_seen, testing::ElementsAre("[GET /1 ]", "[POST /2 " + next.substr(49) + "]"));
        caller.send(get("/3"));
        runUntil([this] { return m_open != nullptr; });
        EXPECT_EQ(m_seen.back(), "[GET /3 ]");
        m_open.reset();
        turn();
    }
}

/// Requests of a caller, as bytes and as the handler is to see them.
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

// Guards against any cut of the input and any moment of its arrival that changes the order or the
// bytes of requests.
TEST_P(PipeliningSeedTest, RequestsArriveWholeAndInOrderWhateverTheCuts)
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
            const std::size_t most = random() % 8 == 0 ? 4'000 : 80;
            const std::string piece = script.bytes.substr(sent, 1 + random() % most);
            caller.send(piece);
            sent += piece.size();
        } else if (action == 2 && m_open != nullptr) {
            answer();
            ++answered;
        } else {
            turn();
        }
        ASSERT_TRUE(caller.receive());
    }
    runUntil([&caller, &script] {
        caller.receive();
        return answersIn(caller.received()).size() == script.expected.size();
    });
    EXPECT_EQ(m_seen, script.expected);
    EXPECT_EQ(answersIn(caller.received()), script.expected);
    EXPECT_EQ(server->exchangesInProgress(), 0u);
}

INSTANTIATE_TEST_SUITE_P(Seeds, PipeliningSeedTest, testing::Range(1U, 121U));

// Guards against a request behind a closing answer being passed on although its caller is going to
// send it again.
TEST_F(PipeliningTest, NothingBehindAClosingAnswerIsPassedOn)
{
    const std::unique_ptr<HttpServer> server = serve();
    PromptCaller caller(server->port());
    caller.send(get("/1") + get("/2"));
    runUntil([this] { return m_open != nullptr; });
    server->closeAfterResponses();
    answer();
    caller.send(get("/3"));
    const Timer wake = m_loop.scheduleEvery(milliseconds(1), [] {});
    runUntil([&caller] { return !caller.receive(); });
    EXPECT_THAT(m_seen, testing::ElementsAre("[GET /1 ]"));
    EXPECT_THAT(caller.received(), testing::HasSubstr("Connection: close"));
    EXPECT_THAT(answersIn(caller.received()), testing::ElementsAre("[GET /1 ]"));
}

} // namespace
} // namespace Tarragon
