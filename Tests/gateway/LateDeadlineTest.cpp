// Requests whose deadlines are noticed late.

#include "GatewayFixture.h"
#include "Support/LoopDelay.h"
#include "Support/PromptCaller.h"

#include <gmock/gmock.h>

#include <string>

namespace Tarragon {
namespace {

using testing::HasSubstr;

constexpr milliseconds Timeout{ 300 };

class LateDeadlineTest : public GatewayTest
{
protected:
    void SetUp() override
    {
        adoptTable(1, Timeout);
        addTarget("t1", [this](RawSocket &socket, const std::string &) { m_target = &socket; });
    }

    /// Delays the loop beyond the deadline once the request has arrived at the target. The bytes
    /// arrive meanwhile.
    void respondDuringDelay(std::string_view bytes)
    {
        runUntil([this] { return m_target != nullptr; });
        m_delay.delayUntil(m_loop.now() + 2 * Timeout, [this, bytes] {
            if (!bytes.empty()) {
                m_target->sendAtOnce(bytes);
            }
        });
    }
    CallerResult sendWithDelay(const std::string &method, const std::string &uri,
                               std::string_view bytes)
    {
        CallerResult result;
        const HttpCallPtr call = m_client.fetch(
                callerRequest(method, uri, "a1"), ByteCount{ 1'000'000 },
                [&result](const HttpResponse &response) { result.response = response; },
                [&result](const HttpFailure &failure) { result.failure = failure; });
        respondDuringDelay(bytes);
        runUntil([&result] { return result.response.has_value() || result.failure.has_value(); });
        return result;
    }
    std::string logText() const { return std::string(m_log->pending()); }

    LoopDelay m_delay{ m_loop };
    RawSocket *m_target = nullptr;
};

// Guards against a 504 in place of a response that has arrived, whose request must not be repeated.
TEST_F(LateDeadlineTest, ResponseThatArrivedIsDelivered)
{
    const CallerResult result =
            sendWithDelay("POST", "/pay/1", answer(200, sealed(), std::string(20'000, 'x')));
    ASSERT_EQ(result.status(), 200) << logText();
    EXPECT_EQ(result.response->body.size(), 20'000u);
}

// Guards against a chunked response that is lost because it is decoded after the deadline timer.
TEST_F(LateDeadlineTest, ChunkedResponseThatArrivedIsDelivered)
{
    const CallerResult result =
            sendWithDelay("GET", "/read/1",
                          "HTTP/1.1 200 x\r\n" + sealed()
                                  + "Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n");
    ASSERT_EQ(result.status(), 200) << logText();
    EXPECT_EQ(result.response->body, "hello");
}

// Guards against half a response that extends the deadline.
TEST_F(LateDeadlineTest, HalfAHeadTimesOut)
{
    const CallerResult result = sendWithDelay("POST", "/pay/1", "HTTP/1.1 200 x\r\nAttempt-");
    EXPECT_EQ(result.status(), 504) << logText();
}

// Guards against half a body that is taken for a response or extends the deadline.
TEST_F(LateDeadlineTest, HalfABodyTimesOut)
{
    const CallerResult result = sendWithDelay(
            "POST", "/pay/1", "HTTP/1.1 200 x\r\n" + sealed() + "Content-Length: 9\r\n\r\nhalf");
    EXPECT_EQ(result.status(), 504) << logText();
}

// Guards against a request without a response that waits after its deadline.
TEST_F(LateDeadlineTest, WithoutInputEndsAtOnce)
{
    static constexpr int MaxIterations = 10;
    PromptCaller caller(m_front->port());
    caller.send("GET /read/1 HTTP/1.1\r\nHost: stand.example\r\nAttempt-Id: a1\r\n\r\n");
    respondDuringDelay("");
    for (int i = 0; i < MaxIterations; ++i) {
        event_base_loop(m_loop.base(), EVLOOP_ONCE | EVLOOP_NONBLOCK);
    }
    EXPECT_THAT(logText(), HasSubstr("outcome=timeout"));
}

// Guards against a caller that leaves during the delay and whose request never ends.
TEST_F(LateDeadlineTest, CallerThatLeavesDuringDelayEndsItsRequest)
{
    PromptCaller caller(m_front->port());
    caller.send("GET /read/1 HTTP/1.1\r\nHost: stand.example\r\nAttempt-Id: a1\r\n\r\n");
    runUntil([this] { return m_target != nullptr; });
    m_delay.delayUntil(m_loop.now() + 2 * Timeout, [this, &caller] {
        caller.endStream();
        m_target->sendAtOnce(answer(200, sealed(), "late"));
    });
    runUntil([this] { return logText().find("event=request ") != std::string::npos; });
    EXPECT_THAT(logText(),
                testing::AnyOf(HasSubstr("outcome=caller-gone"), HasSubstr("outcome=answered")));
}

} // namespace
} // namespace Tarragon
