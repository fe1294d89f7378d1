#include "GatewayFixture.h"
#include "Support/CallRecord.h"

#include <gmock/gmock.h>

#include <string>
#include <vector>

namespace Tarragon {
namespace {

/// Callers of a service whose targets respond in parts, at moments that a test chooses.
class SecondResponseTest : public GatewayTest
{
protected:
    /// Size of a part of a response; more than an entry buffers before it delivers.
    static constexpr std::size_t PartBytes = 30'000;

    /// Adds targets that run the first script for the first request, wherever it arrives, and the
    /// second one for all others.
    void addTargets(const Script &first, const Script &second)
    {
        const std::shared_ptr<int> count = std::make_shared<int>(0);
        const Script script = [this, first, second, count](RawSocket &socket,
                                                           const std::string &request) {
            m_targetSockets.push_back(&socket);
            (++*count == 1 ? first : second)(socket, request);
        };
        addTarget("t1", script);
        addTarget("t2", script);
    }
    static std::string part(char ch)
    {
        // 7530 is PartBytes in hexadecimal.
        return "7530\r\n" + std::string(PartBytes, ch) + "\r\n";
    }
    static std::string beginning(int status, char ch, const std::string &fields = "")
    {
        return "HTTP/1.1 " + std::to_string(status) + " x\r\n" + sealed() + fields
               + "Transfer-Encoding: chunked\r\n\r\n" + part(ch);
    }
    static std::string rest(char ch) { return part(ch) + "0\r\n\r\n"; }
    /// Sends a request whose caller waits for the given time.
    void start(milliseconds time)
    {
        HttpRequest request = callerRequest("GET", "/read/1", "a1");
        request.headers.set("Request-Deadline", std::to_string(time.count()));
        m_caller.call = m_client.send(request, m_caller.handlers());
    }

    /// Whether the caller got two parts that consist of the character.
    bool hasOnly(char ch) const { return m_caller.body == std::string(2 * PartBytes, ch); }

    /// Connections of the targets' requests, in the order of the requests.
    std::vector<RawSocket *> m_targetSockets;
    CallRecord m_caller;
};

// Guards against a target's failure response that is delivered at the deadline and goes on with the
// bytes of another target, which responds right after the deadline.
TEST_F(SecondResponseTest, DeliveredFailureIsNotMixedWithALaterResponse)
{
    adoptTable();
    addTargets(answering(beginning(500, 'f')), [](RawSocket &, const std::string &) {});
    start(milliseconds(300));
    runUntil([this] { return m_caller.head.has_value(); });
    ASSERT_EQ(m_targetSockets.size(), 2u);
    RawSocket &late = *m_targetSockets[1];
    late.send(beginning(200, 's') + rest('s'));
    runUntil([this, &late] {
        return late.isPeerClosed() || m_caller.body.find('s') != std::string::npos;
    });
    m_targetSockets[0]->send(rest('f'));
    runUntil([this] { return m_caller.isEnded(); });
    EXPECT_TRUE(m_caller.completed);
    EXPECT_EQ(m_caller.head->status, 500);
    EXPECT_TRUE(hasOnly('f'));
    EXPECT_TRUE(late.isPeerReset());
}

// Guards against a failure response that is kept, and goes on to arrive, while another target's
// response is delivered.
TEST_F(SecondResponseTest, DeliveredResponseResetsTheFailureKeptBefore)
{
    adoptTable();
    addTargets(answering(beginning(500, 'f')), answering(beginning(200, 's')));
    start(milliseconds(800));
    runUntil([this] { return m_caller.head.has_value(); });
    ASSERT_EQ(m_targetSockets.size(), 2u);
    runUntil([this] { return m_targetSockets[0]->isPeerClosed(); });
    EXPECT_TRUE(m_targetSockets[0]->isPeerReset());
    EXPECT_FALSE(m_caller.isEnded());
    m_targetSockets[1]->send(rest('s'));
    runUntil([this] { return m_caller.isEnded(); });
    EXPECT_EQ(m_caller.head->status, 200);
    EXPECT_TRUE(hasOnly('s'));
}

// Guards against a target that goes on to work on a request whose caller has got its 504.
TEST_F(SecondResponseTest, DeadlineResetsTheAttemptInProgress)
{
    adoptTable();
    addTargets([](RawSocket &, const std::string &) {}, answering(answer(200, sealed(), "")));
    start(milliseconds(100));
    runUntil([this] { return m_caller.isEnded(); });
    EXPECT_EQ(m_caller.head->status, 504);
    ASSERT_EQ(m_targetSockets.size(), 1u);
    runUntil([this] { return m_targetSockets[0]->isPeerClosed(); });
    EXPECT_TRUE(m_targetSockets[0]->isPeerReset());
}

// Guards against a target that goes on to send a response whose caller has gone.
TEST_F(SecondResponseTest, CallerThatLeavesEndsTheDelivery)
{
    adoptTable();
    addTargets(answering(beginning(200, 's')), answering(answer(200, sealed(), "")));
    start(milliseconds(800));
    runUntil([this] { return m_caller.head.has_value(); });
    m_caller.call.reset();
    ASSERT_EQ(m_targetSockets.size(), 1u);
    runUntil([this] { return m_targetSockets[0]->isPeerClosed(); });
    EXPECT_TRUE(m_targetSockets[0]->isPeerReset());
}

/// Targets that state limits, for which another entry issues the permits.
class LatePermitTest : public SecondResponseTest
{
protected:
    LatePermitTest() { letAnotherEntryIssuePermits(); }

    void replyToPermitRequest(bool isGranted)
    {
        ASSERT_EQ(m_asked.size(), 1u);
        PermitReply reply;
        reply.isGranted = isGranted;
        reply.limit = m_state->limits().find(TargetId("t1"));
        const TargetPermits::ReplySlot replied = m_asked.front();
        m_asked.clear();
        replied(&reply, m_loop.now());
    }
};

// Guards against a further attempt, or a second response, that follows from a permit which comes or
// is denied while a failure response is being delivered.
TEST_F(LatePermitTest, PermitAfterTheResponseHasBegunDecidesNothing)
{
    adoptTable();
    const Script script = answering(beginning(500, 'f', "Server-Limit: 1000\r\n"));
    addTargets(script, script);
    for (const char *id : { "t1", "t2" }) {
        m_state->limits().onStated(TargetId(id), RequestRate{ 1'000 }, m_loop.now());
    }
    for (const bool isGranted : { true, false }) {
        m_targetSockets.clear();
        m_caller = CallRecord();
        start(milliseconds(200));
        runUntil([this] { return !m_asked.empty(); });
        replyToPermitRequest(true);
        runUntil([this] { return !m_asked.empty() || m_caller.isEnded(); });
        runUntil([this] { return m_caller.head.has_value(); });
        replyToPermitRequest(isGranted);
        ASSERT_EQ(m_targetSockets.size(), 1u);
        m_targetSockets[0]->send(rest('f'));
        runUntil([this] { return m_caller.isEnded(); });
        EXPECT_TRUE(m_caller.completed);
        EXPECT_TRUE(hasOnly('f'));
        EXPECT_EQ(m_targetSockets.size(), 1u);
        m_caller.call.reset();
    }
}

} // namespace
} // namespace Tarragon
