// Tests of the log lines by which an on-call engineer finds why a request had no answer at all.

#include "GatewayFixture.h"
#include "Support/PromptCaller.h"
#include "net/ConnectionAccount.h"
#include "net/ConnectionCloses.h"
#include "platform/RequestCodec.h"

#include <gmock/gmock.h>

#include <array>
#include <sstream>
#include <stdexcept>

namespace Tarragon {
namespace {

using testing::HasSubstr;

/// Requests of one connection: in progress, in progress behind it, answered but held behind it, and
/// waiting for the responses before it.
constexpr std::array Positions = { "first", "behind", "held", "waiting" };

/// A response that does not fit into the buffers of the sockets.
constexpr int ReceiveBuffer = 4'096;
constexpr std::size_t LongBody = 8'000'000;

class EndWithoutAnswerTest : public GatewayTest
{
protected:
    /// The requests that the end of a connection leaves without an answer, and the cause that each
    /// one's line must have.
    using Causes = std::vector<std::pair<std::string, std::string>>;

    EndWithoutAnswerTest()
    {
        ConnectionCloses::ofProcess().setRequestIdField(Platform::requestIdField());
    }
    ~EndWithoutAnswerTest() override
    {
        m_budget.setLimits(m_counts.capacityBytes, m_counts.maxConnections);
    }

    static std::string request(const std::string &method, const std::string &id,
                               const std::string &body = "")
    {
        const std::string length =
                body.empty() ? "" : "Content-Length: " + std::to_string(body.size()) + "\r\n";
        return method + " /" + (method == "GET" ? "read" : "pay") + "/" + id
               + " HTTP/1.1\r\nHost: stand.example\r\nAttempt-Id: " + id
               + "\r\nRequest-Deadline: 800\r\n" + length + "\r\n" + body;
    }
    /// Brings requests of a connection into all positions. The target gives the first bytes of the
    /// response to the first one, if there are any.
    void fillPositions(PromptCaller &caller, const std::string &firstBytes = "")
    {
        adoptTable();
        addTarget("t1", [this, firstBytes](RawSocket &socket, const std::string &text) {
            if (text.find("Attempt-Id: held") != std::string::npos) {
                socket.send(answer(200, sealed("held"), "x"));
            } else if (text.find("Attempt-Id: first") != std::string::npos) {
                socket.send(firstBytes);
                m_firstTarget = &socket;
            }
        });
        caller.send(request("GET", "first") + request("GET", "behind") + request("GET", "held")
                    + request("POST", "waiting", std::string(20'000, 'x')));
        runUntil([this] { return m_arrivals.size() == 3; });
        runUntil([this] { return lineOf("request=held").find("answered") != std::string::npos; });
    }
    /// Returns the part of the log that was written since the construction of the test.
    std::string text() const { return std::string(m_log->pending()).substr(m_logStart); }
    std::string lineOf(const std::string &part) const
    {
        const std::string all = text();
        const std::size_t at = all.find(part);
        if (at == std::string::npos) {
            return "";
        }
        const std::size_t start = all.rfind('\n', at) + 1;
        return all.substr(start, all.find('\n', at) - start);
    }
    /// Returns the lines on the end of a request without an answer.
    std::vector<std::string> endsOf(const std::string &id) const
    {
        std::vector<std::string> result;
        std::istringstream all(text());
        for (std::string line; std::getline(all, line);) {
            const bool isEnd = line.find("event=send-") == std::string::npos
                               && line.find("outcome=answered") == std::string::npos;
            if (isEnd && (line + " ").find(" request=" + id + " ") != std::string::npos) {
                result.push_back(line);
            }
        }
        return result;
    }
    void awaitClose(PromptCaller &caller)
    {
        const Timer wake = m_loop.scheduleEvery(milliseconds(1), [] {});
        runUntil([&caller] { return !caller.receive(); });
    }
    /// Checks that each request has one line, and that it has the cause.
    void expectCauses(const Causes &causes)
    {
        runFor(milliseconds(20));
        for (const auto &[id, cause] : causes) {
            const std::vector<std::string> lines = endsOf(id);
            EXPECT_EQ(lines.size(), 1u) << "of " << id << " in\n" << text();
            if (!lines.empty()) {
                EXPECT_THAT(lines.front() + " ", HasSubstr("=" + cause + " ")) << id;
            }
        }
    }
    /// The same cause for all positions.
    static Causes allOf(const std::string &cause)
    {
        Causes result;
        for (const char *const it : Positions) {
            result.emplace_back(it, cause);
        }
        return result;
    }
    std::string metricsOf(const std::string &outcome) const
    {
        const std::string all = m_metrics.text();
        const std::size_t at = all.find("outcome=\"" + outcome + "\"");
        return at == std::string::npos ? "" : all.substr(at, all.find('\n', at) - at);
    }
    /// Makes another connection need the memory of those that have stalled.
    void evictStalled()
    {
        m_budget.setLimits(1, m_budget.counts().maxConnections);
        ConnectionAccount other(m_budget, m_loop.now(), [] {});
        EXPECT_FALSE(other.admitsHead(m_loop.now() + MemoryBudget::StallTime + seconds(1)));
        m_budget.setLimits(m_counts.capacityBytes, m_counts.maxConnections);
    }

    MemoryBudget &m_budget = MemoryBudget::ofProcess();
    const MemoryBudgetCounts m_counts = m_budget.counts();
    const std::size_t m_logStart = m_log->pending().size();
    /// The target's connection that has got the first request.
    RawSocket *m_firstTarget = nullptr;
};

// Guards against requests that end with an evicted connection and look like ones whose caller left.
TEST_F(EndWithoutAnswerTest, EvictionForMemoryIsNamed)
{
    // Only a client that does not read its response counts as stalled.
    PromptCaller caller(m_front->port(), ReceiveBuffer);
    fillPositions(caller, answer(200, sealed("first"), std::string(LongBody, 'x')));
    runFor(milliseconds(100));
    evictStalled();
    awaitClose(caller);
    expectCauses(allOf("eviction"));
    EXPECT_THAT(metricsOf("eviction"), HasSubstr("} 2"));
}

// Guards against a request that crosses the eviction of its connection without a line.
TEST_F(EndWithoutAnswerTest, EvictionForDescriptorsIsNamed)
{
    adoptTable();
    addTarget("t1", [](RawSocket &socket, const std::string &text) {
        if (text.find("Attempt-Id: first") != std::string::npos) {
            socket.send(answer(200, sealed("first"), "x"));
        }
    });
    PromptCaller caller(m_front->port());
    caller.send(request("GET", "first"));
    const Timer wake = m_loop.scheduleEvery(milliseconds(1), [] {});
    runUntil([&caller] { return caller.receive() && !caller.received().empty(); });
    runFor(milliseconds(5));
    m_budget.setLimits(m_counts.capacityBytes, m_budget.counts().connections);
    // A connection whose request has arrived is not chosen; this one arrives right after that.
    const ConnectionAccount other(m_budget, m_loop.now(), [] {});
    caller.send(request("GET", "waiting"));
    awaitClose(caller);
    expectCauses({ { "waiting", "eviction" } });
}

// Guards against requests in progress that end with the process without a line.
TEST_F(EndWithoutAnswerTest, EndOfTheProcessIsNamed)
{
    PromptCaller caller(m_front->port());
    fillPositions(caller);
    m_front.reset();
    expectCauses(allOf("server-end"));
    EXPECT_THAT(metricsOf("server-end"), HasSubstr("} 2"));
}

// Guards against requests read before their caller left that have no line.
TEST_F(EndWithoutAnswerTest, CallerThatLeftIsNamed)
{
    {
        PromptCaller caller(m_front->port());
        fillPositions(caller);
    }
    runUntil([this] { return m_front->connectionCount() == 0; });
    expectCauses(allOf("caller-gone"));
    EXPECT_THAT(metricsOf("caller-gone"), HasSubstr("} 2"));
}

// Guards against requests whose connection was reset behind the truncated response to another one,
// and that look like ones whose caller left.
TEST_F(EndWithoutAnswerTest, TargetThatBrokeOffIsNamed)
{
    PromptCaller caller(m_front->port());
    fillPositions(caller, "HTTP/1.1 200 OK\r\nContent-Length: 60000\r\n" + sealed("first") + "\r\n"
                                  + std::string(40'000, 'x'));
    m_firstTarget->reset();
    awaitClose(caller);
    expectCauses({ { "first", "broken-off" },
                   { "behind", "break-off" },
                   { "held", "break-off" },
                   { "waiting", "break-off" } });
}

// Guards against requests whose caller reads nothing until the time for it is over, and that look
// like ones whose caller left.
TEST_F(EndWithoutAnswerTest, CallerThatDoesNotReadIsNamed)
{
    static constexpr std::size_t Length = 20'000'000;
    HttpServerLimits limits;
    limits.writeTimeout = milliseconds(200);
    m_front->setLimits(limits);
    adoptTable();
    addTarget("t1", answering("HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(Length)
                              + "\r\n" + sealed("first") + "\r\n" + std::string(Length, 'x')));
    PromptCaller caller(m_front->port(), 4'096);
    caller.send(request("GET", "first"));
    runUntil([this] { return !endsOf("first").empty(); });
    expectCauses({ { "first", "unread" } });
}

// Guards against requests that end with an exception of their handler, before or after the handler
// has begun to follow them, and whose id no line has.
TEST_F(EndWithoutAnswerTest, ExceptionOfAHandlerIsNamed)
{
    adoptTable();
    addTarget("t1", [](RawSocket &, const std::string &) {});
    m_front = std::make_unique<HttpServer>(m_loop, "127.0.0.1", 0, HttpServerLimits{},
                                           [this](const HttpExchangePtr &it) {
                                               if (it->uri().ends_with("followed")) {
                                                   RoutedRequest::begin(*m_context, it);
                                               }
                                               throw std::runtime_error("no more");
                                           });
    PromptCaller early(m_front->port());
    early.send(request("GET", "early"));
    PromptCaller followed(m_front->port());
    followed.send(request("GET", "followed"));
    awaitClose(early);
    awaitClose(followed);
    // Beyond the deadline of the requests, which must not add a line.
    runFor(milliseconds(900));
    expectCauses({ { "early", "handler-failed" }, { "followed", "handler-failed" } });
}

// Guards against a pipelined request whose handler throws and which has no line, or which takes the
// lines of those behind it away.
TEST_F(EndWithoutAnswerTest, ExceptionOfTheHandlerOfAPipelinedRequestIsNamed)
{
    adoptTable();
    HttpExchangePtr first;
    m_front = std::make_unique<HttpServer>(m_loop, "127.0.0.1", 0, HttpServerLimits{},
                                           [&first](const HttpExchangePtr &it) {
                                               if (first != nullptr) {
                                                   throw std::runtime_error("no more");
                                               }
                                               first = it;
                                           });
    PromptCaller caller(m_front->port());
    caller.send(request("GET", "first") + request("GET", "behind") + request("GET", "waiting"));
    runUntil([&first] { return first != nullptr; });
    first->reply(200, {}, "x");
    awaitClose(caller);
    EXPECT_THAT(caller.received(), HasSubstr("200"));
    // Logged when the connection is closed for good, so that later input is counted as well.
    runUntil([this] { return !endsOf("waiting").empty(); });
    expectCauses({ { "behind", "handler-failed" }, { "waiting", "break-off" } });
}

} // namespace
} // namespace Tarragon
