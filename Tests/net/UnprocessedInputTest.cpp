#include "net/UnprocessedInput.h"

#include "Support/LoopTest.h"
#include "Support/PromptCaller.h"
#include "Support/RawListener.h"
#include "net/ConnectionCloses.h"

#include <gmock/gmock.h>

#include <string>

namespace Tarragon {
namespace {

using testing::HasSubstr;

constexpr std::string_view Request = "GET /a HTTP/1.1\r\nHost: a\r\nX-Id:  r1 \r\n\r\n";
constexpr MonotonicTime Now{ seconds(100) };

// Guards against a discarded request that cannot be named because it arrived in pieces.
TEST(UnprocessedInputTest, HeadInPiecesIsRecognized)
{
    UnprocessedInput input;
    for (const char ch : Request) {
        EXPECT_FALSE(input.hasWholeHead());
        input.add(std::string_view(&ch, 1));
    }
    EXPECT_TRUE(input.hasWholeHead());
    EXPECT_EQ(input.size(), Request.size());
    EXPECT_EQ(input.headerValue("x-id"), "r1");
    EXPECT_EQ(input.headerValue("X"), "");
}

// Guards against a field of a body or of a further request that is taken for one of the first.
TEST(UnprocessedInputTest, OnlyTheFirstHeadIsSearched)
{
    UnprocessedInput input;
    input.add("POST / HTTP/1.1\r\nHost: a\r\n\r\nX-Id: body\r\n");
    input.add(Request);
    EXPECT_EQ(input.headerValue("X-Id"), "");
}

// Guards against a peer that makes the process keep what it discards.
TEST(UnprocessedInputTest, LongInputIsCountedButNotKept)
{
    UnprocessedInput input;
    input.add(std::string(3 * UnprocessedInput::MaxKeptBytes, 'x'));
    input.add(Request);
    EXPECT_EQ(input.size(), 3 * UnprocessedInput::MaxKeptBytes + Request.size());
    EXPECT_FALSE(input.hasWholeHead());
}

class UnreadInputTest : public LoopTest
{};

// Guards against input that is consumed when it is counted.
TEST_F(UnreadInputTest, InputOfASocketStaysUnread)
{
    RawListener listener(m_loop);
    PromptCaller caller(listener.port());
    runUntil([&listener] { return listener.sockets().size() == 1; });
    RawSocket &socket = *listener.sockets()[0];
    caller.send(Request);
    UnprocessedInput input;
    input.addUnread(socket.descriptor());
    EXPECT_EQ(input.size(), Request.size());
    EXPECT_EQ(input.headerValue("X-Id"), "r1");
    runUntil([&socket] { return socket.received() == Request; });
}

// Guards against requests that end without an answer and that no counter shows.
TEST(ConnectionClosesTest, UnprocessedRequestsAreCounted)
{
    ConnectionCloses closes;
    const ClosedConnection closed{ CloseCause::Idle, seconds(3), seconds(2) };
    UnprocessedInput input;
    closes.recordUnprocessed(closed, input, Now);
    EXPECT_EQ(closes.counts().unprocessed, 0u);
    input.add("GET ");
    closes.recordUnprocessed(closed, input, Now);
    EXPECT_EQ(closes.counts().unprocessed, 1u);
    EXPECT_EQ(closes.counts().unprocessedRequests, 0u);
    UnprocessedInput request;
    request.add(Request);
    closes.recordUnprocessed(closed, request, Now);
    EXPECT_THAT(closes.metricsText("p"), HasSubstr("p_unprocessed_closes_total 2\n"));
    EXPECT_THAT(closes.metricsText("p"), HasSubstr("p_unprocessed_requests_total 1\n"));
}

// Guards against closes whose cause cannot be told, and against idle connections that are closed
// within the limit without a trace.
TEST(ConnectionClosesTest, EndsAreCountedByCause)
{
    ConnectionCloses closes;
    closes.recordEnd({ CloseCause::Idle, milliseconds(1'999), seconds(2) }, Now);
    closes.recordEnd({ CloseCause::Idle, seconds(2), seconds(2) }, Now);
    closes.recordEnd({ CloseCause::Response, seconds(0), seconds(2) }, Now);
    const std::string text = closes.metricsText("p");
    EXPECT_THAT(text, HasSubstr("p_ends_total{cause=\"idle\"} 2\n"));
    EXPECT_THAT(text, HasSubstr("p_ends_total{cause=\"response\"} 1\n"));
    EXPECT_THAT(text, HasSubstr("p_early_closes_total 1\n"));
}

} // namespace
} // namespace Tarragon
