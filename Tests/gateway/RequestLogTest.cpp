// Tests of the log lines by which an on-call engineer finds the cause of a failed request.

#include "GatewayFixture.h"
#include "net/LogWriter.h"

#include <gmock/gmock.h>

#include <array>

#include <fcntl.h>
#include <unistd.h>

namespace Tarragon {
namespace {

class RequestLogTest : public GatewayTest
{
protected:
    /// Returns the last log line of the event; empty if there is none.
    std::string lineOf(const std::string &event) const
    {
        const std::string text(m_log->pending());
        const std::size_t at = text.rfind("event=" + event + " ");
        return at == std::string::npos ? "" : text.substr(at, text.find('\n', at) - at);
    }
    /// Returns the sum of the dropped lines that the text reports.
    static std::uint64_t reportedDropsIn(const std::string &text)
    {
        static const std::string note = "event=dropped lines=";
        std::uint64_t sum = 0;
        for (std::size_t at = text.find(note); at != std::string::npos;
             at = text.find(note, at + 1)) {
            sum += std::stoull(text.substr(at + note.size()));
        }
        return sum;
    }
    static void expectKeys(const std::string &line, const std::vector<std::string> &keys)
    {
        for (const std::string &it : keys) {
            EXPECT_NE(line.find(" " + it), std::string::npos) << it << " is not in " << line;
        }
    }
};

// Guards against a refusal whose cause cannot be found in the log: the line has the overloaded
// affinity target, the estimate of its wait and the limit.
TEST_F(RequestLogTest, RefusalLogsItsEstimate)
{
    adoptTable();
    addTarget("t1", [](RawSocket &, const std::string &) {});
    std::vector<HttpCallPtr> calls;
    for (std::size_t i = 0; i < 8; ++i) {
        calls.push_back(m_client.fetch(
                callerRequest("GET", "/read/1", "b" + std::to_string(i)), ByteCount{ 1'000 },
                [](const HttpResponse &) {}, [](const HttpFailure &) {}));
    }
    runUntil([this] { return !m_arrivals.empty(); });
    CallerResult result = get("/read/1");
    EXPECT_EQ(result.status(), 503);
    expectKeys(lineOf("request"),
               { "request=a1", "route=read", "version=1", "service=service", "outcome=refused",
                 "verdict=not-run", "sends=0", "reason=busy", "busyHome=t1",
                 "homeWaitMs=", "homeWorkMs=", "waitLimitMs=100.0", "retryAfterMs=" });
}

// Guards against a failure whose log lines do not show whether the request was executed or why no
// other target was tried.
TEST_F(RequestLogTest, FailuresLogTheAttemptAndWhyItWasTheLast)
{
    adoptTable();
    addTarget("t1", resetting(""));
    EXPECT_EQ(post("/pay/1").status(), 502);
    expectKeys(lineOf("send-failed"), { "request=a1", "target=t1", "outcome=broken",
                                        "verdict=may-have-run", "afterMs=", "reason=" });
    expectKeys(lineOf("request"), { "request=a1", "outcome=failed", "status=502",
                                    "verdict=may-have-run", "noRetry=may-have-run" });
}

// Guards against refusals whose log lines do not show what the response stated, and on which
// connection it came.
TEST_F(RequestLogTest, RefusalsLogTheirConnectionAndWhatTheyState)
{
    adoptTable();
    addTarget("t1", [](RawSocket &socket, const std::string &request) {
        const bool isFirst = request.find("Attempt-Id: a1") != std::string::npos;
        socket.send(isFirst ? answer(200, sealed(), "x")
                            : answer(503, "Attempt-Id: a2\r\nNot-Executed: 1\r\n", ""));
    });
    EXPECT_EQ(post("/pay/1").status(), 200);
    const std::string first = lineOf("request");
    const std::size_t at = first.find(" connection=");
    ASSERT_NE(at, std::string::npos);
    const std::string connection = first.substr(at + 1, first.find(' ', at + 1) - at - 1);
    expectKeys(first, { "exchange=1 " });
    EXPECT_EQ(send(callerRequest("POST", "/pay/1", "a2")).status(), 503);
    expectKeys(lineOf("send-failed"), { connection + " ", "exchange=2 ", "responseId=a2 ",
                                        "sealed=false ", "notExecuted=true " });
}

// Guards against a response that broke off being logged, counted and sampled like a complete one.
TEST_F(RequestLogTest, ResponsesThatBreakOffAreLoggedAsSuch)
{
    adoptTable();
    addTarget("t1", [](RawSocket &socket, const std::string &) {
        socket.send("HTTP/1.1 200 OK\r\nContent-Length: 60000\r\n" + sealed() + "\r\n"
                    + std::string(40'000, 'x'));
        socket.closeAfterSending();
    });
    EXPECT_TRUE(get("/read/1").failure.has_value());
    expectKeys(lineOf("request"), { "request=a1", "target=t1", "outcome=broken-off", "status=200",
                                    "verdict=ran", "reason=" });
    EXPECT_THAT(m_metrics.text(), testing::HasSubstr("outcome=\"broken-off\""));
}

// Guards against a timeout whose log line does not name the target.
TEST_F(RequestLogTest, TimeoutsLogTheTarget)
{
    adoptTable();
    addTarget("t1", [](RawSocket &, const std::string &) {});
    HttpRequest request = callerRequest("POST", "/pay/1", "a1");
    request.headers.set("Request-Deadline", "100");
    EXPECT_EQ(send(request).status(), 504);
    expectKeys(lineOf("send-failed"), { "request=a1", "target=t1", "outcome=abandoned" });
    expectKeys(lineOf("request"), { "request=a1", "outcome=timeout", "status=504" });
}

// Guards against a caller who forges lines or keys of the log by the content of a request.
TEST_F(RequestLogTest, CallersCannotForgeLines)
{
    adoptTable();
    addTarget("t1", answering(answer(200, sealed(), "x")));
    EXPECT_EQ(send(callerRequest("GET", "/read/1", "x outcome=fake")).status(), 502);
    EXPECT_NE(lineOf("request").find("request=\"x outcome=fake\""), std::string::npos);
}

// Guards against requests that wait for the reader of the log, and against dropped lines that are
// not reported.
TEST_F(RequestLogTest, StoppedReaderDelaysNoRequest)
{
    adoptTable();
    addTarget("t1", [](RawSocket &socket, const std::string &request) {
        const std::size_t at = request.find("Attempt-Id: ") + 12;
        socket.send(answer(200, sealed(request.substr(at, request.find('\r', at) - at)), "x"));
    });
    std::array<int, 2> ends{};
    ASSERT_EQ(pipe(ends.data()), 0);
    LogWriter writer(m_loop, m_log, ends[1]);
    const std::string filler = std::string(99, 'x') + "\n";
    // First the pipe fills up, then the buffer.
    for (int i = 0; i < 2; ++i) {
        while (m_log->add(filler)) {
        }
        writer.flush();
    }
    const std::uint64_t before = m_log->dropped();
    for (int i = 0; i < 50; ++i) {
        EXPECT_EQ(send(callerRequest("GET", "/none/1", "a1")).status(), 404);
        EXPECT_EQ(get("/read/1").status(), 200);
    }
    EXPECT_GT(m_log->dropped(), before);
    EXPECT_EQ(m_successSampler.skipped(), 50u);
    fcntl(ends[0], F_SETFL, O_NONBLOCK);
    std::string read;
    std::array<char, 65'536> chunk{};
    runUntil([&] {
        const ssize_t n = ::read(ends[0], chunk.data(), chunk.size());
        read.append(chunk.data(), n > 0 ? static_cast<std::size_t>(n) : 0);
        return m_log->pending().empty();
    });
    EXPECT_EQ(get("/read/1").status(), 200);
    EXPECT_EQ(reportedDropsIn(read + std::string(m_log->pending())), m_log->dropped());
    close(ends[0]);
    close(ends[1]);
}

} // namespace
} // namespace Tarragon
