#include "Support/SlowReadTest.h"
#include "net/HttpServer.h"

#include <gmock/gmock.h>

#include <ostream>
#include <string>
#include <string_view>
#include <vector>

namespace Tarragon {
namespace {

using testing::HasSubstr;
using testing::Not;

constexpr std::string_view Get = "GET / HTTP/1.1\r\nHost: a\r\n\r\n";
constexpr int ReceiveBuffer = 16'384;
constexpr std::size_t BodySize = 60'001;

struct BreakOffCase
{
    const char *name;
    /// Bytes of the second response that were sent before it broke off.
    std::size_t sentBytes;
    /// Whether the second request has HTTP/1.0, so that its response ends with the connection.
    bool isUnframed = false;
    /// Whether further requests arrive.
    bool isFollowed = false;
};

std::ostream &operator<<(std::ostream &out, const BreakOffCase &value)
{
    return out << value.name;
}

class BreakOffTest : public SlowReadTest, public testing::WithParamInterface<BreakOffCase>
{
protected:
    std::vector<HttpExchangePtr> m_exchanges;
    HttpServer m_server{ m_loop, "127.0.0.1", 0, HttpServerLimits{},
                         [this](const HttpExchangePtr &exchange) {
                             m_exchanges.push_back(exchange);
                         } };
};

// Guards against a response that breaks off and takes the whole response before it along, which the
// caller has not read yet. The break itself must stay visible.
TEST_P(BreakOffTest, DoesNotCutTheResponseBefore)
{
    PromptCaller caller(m_server.port(), ReceiveBuffer);
    caller.send(std::string(Get)
                + (GetParam().isUnframed ? "GET / HTTP/1.0\r\n\r\n" : std::string(Get)));
    runUntil([this] { return !m_exchanges.empty(); });
    m_exchanges[0]->reply(200, {}, std::string(BodySize - 3, 'x') + "end");
    readSlowlyUntil(caller, [this] {
        return m_exchanges.size() == 2 && m_server.exchangesInProgress() == 1;
    });
    ASSERT_LT(caller.received().size(), BodySize);
    if (GetParam().sentBytes > 0) {
        m_exchanges[1]->startReply(200, {});
        m_exchanges[1]->send(std::string(GetParam().sentBytes, 'y'));
        runUntil([this] { return m_exchanges[1]->bufferedBytes() == 0; });
    }
    m_exchanges[1]->abort();
    EXPECT_TRUE(m_exchanges[1]->isEnded());
    EXPECT_EQ(m_server.exchangesInProgress(), 0u);
    if (GetParam().isFollowed) {
        caller.sendIfPossible(std::string(Get) + std::string(Get));
    }
    readSlowlyUntil(caller, [] { return false; });
    EXPECT_TRUE(caller.isReset());
    const std::size_t headEnd = caller.received().find("\r\n\r\n");
    ASSERT_NE(headEnd, std::string::npos);
    ASSERT_GE(caller.received().size(), headEnd + 4 + BodySize);
    EXPECT_EQ(caller.received().substr(headEnd + BodySize + 1, 3), "end");
    EXPECT_THAT(caller.received(), Not(HasSubstr("0\r\n\r\n")));
    EXPECT_EQ(m_exchanges.size(), 2u);
    runUntil([this] { return m_server.connectionCount() == 0; });
}

INSTANTIATE_TEST_SUITE_P(All, BreakOffTest,
                         testing::Values(BreakOffCase{ "Unstarted", 0 },
                                         BreakOffCase{ "Started", 10'000 },
                                         BreakOffCase{ "Unframed", 10'000, true },
                                         BreakOffCase{ "Followed", 10'000, false, true }),
                         [](const testing::TestParamInfo<BreakOffCase> &info) {
                             return std::string(info.param.name);
                         });

class UnreadStreamTest : public SlowReadTest
{};

// Guards against a response without length that looks complete although the server has ended it
// because its caller did not read it in time.
TEST_F(UnreadStreamTest, EndByTheWriteTimeoutIsVisible)
{
    static constexpr std::size_t StreamSize = 20'000'000;
    HttpServerLimits limits;
    limits.writeTimeout = milliseconds(200);
    std::vector<HttpExchangePtr> exchanges;
    const HttpServer server(m_loop, "127.0.0.1", 0, limits,
                            [&exchanges](const HttpExchangePtr &exchange) {
                                exchange->startReply(200, {});
                                exchange->send(std::string(StreamSize, 'x'));
                                exchanges.push_back(exchange);
                            });
    PromptCaller caller(server.port(), ReceiveBuffer);
    caller.send("GET / HTTP/1.0\r\n\r\n");
    runUntil([&exchanges] { return exchanges.size() == 1 && exchanges[0]->isEnded(); });
    const Timer reader = m_loop.scheduleEvery(milliseconds(1), [] {});
    runUntil([&caller] { return !caller.receive(); });
    EXPECT_LT(caller.received().size(), StreamSize);
    EXPECT_TRUE(caller.isReset());
}

} // namespace
} // namespace Tarragon
