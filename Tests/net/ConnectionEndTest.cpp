#include "Support/SlowReadTest.h"
#include "net/HttpServer.h"

#include <gmock/gmock.h>

#include <array>
#include <memory>
#include <ostream>
#include <string>
#include <string_view>
#include <tuple>
#include <vector>

namespace Tarragon {
namespace {

using testing::EndsWith;
using testing::HasSubstr;

constexpr std::string_view Get = "GET /further HTTP/1.1\r\nHost: a\r\n\r\n";
/// Part of what the caller asks to be sent arrives only when it has read the bytes before.
constexpr int ReceiveBuffer = 16'384;
constexpr std::size_t BodySize = 60'000;

/// A server whose responses are sent by the test, and callers that read them slowly.
class ConnectionEndTest : public SlowReadTest
{
protected:
    void serve(const HttpServerLimits &limits = {})
    {
        m_server = std::make_unique<HttpServer>(
                m_loop, "127.0.0.1", 0, limits,
                [this](const HttpExchangePtr &exchange) { m_exchanges.push_back(exchange); });
    }

    /// Sends a request and waits until it has been passed to the handler.
    void request(PromptCaller &caller, std::string_view text)
    {
        const std::size_t n = m_exchanges.size();
        caller.send(text);
        runUntil([this, n] { return m_exchanges.size() > n; });
    }

    /// Reads until the server ends the connection.
    void readToTheEnd(PromptCaller &caller)
    {
        readSlowlyUntil(caller, [] { return false; });
    }

    /// Reads slowly until evhttp has closed the connection.
    void awaitClose(PromptCaller &caller)
    {
        readSlowlyUntil(caller, [this] { return m_server->connectionCount() == 0; });
        ASSERT_EQ(m_server->connectionCount(), 0u);
    }

    /// Checks that one whole response was received, then an orderly end of the connection.
    static void expectWholeResponse(const PromptCaller &caller)
    {
        EXPECT_FALSE(caller.isReset());
        const std::size_t headEnd = caller.received().find("\r\n\r\n");
        ASSERT_NE(headEnd, std::string::npos);
        EXPECT_EQ(caller.received().size(), headEnd + 4 + BodySize);
        EXPECT_THAT(caller.received(), EndsWith("end"));
    }

    static std::string body() { return std::string(BodySize - 3, 'x') + "end"; }

    std::unique_ptr<HttpServer> m_server;
    std::vector<HttpExchangePtr> m_exchanges;
};

struct LastResponseCase
{
    const char *name;
    std::string_view request;
    bool isStopping = false;
    bool handlerCloses = false;
};

std::ostream &operator<<(std::ostream &out, const LastResponseCase &value)
{
    return out << value.name;
}

constexpr std::array LastResponses = {
    LastResponseCase{ "PlannedStop", "GET / HTTP/1.1\r\nHost: a\r\n\r\n", true, false },
    LastResponseCase{ "CallerAsksToClose",
                      "GET / HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n" },
    LastResponseCase{ "HandlerCloses", "GET / HTTP/1.1\r\nHost: a\r\n\r\n", false, true },
    LastResponseCase{ "Http10", "GET / HTTP/1.0\r\n\r\n" },
};

struct FurtherInputCase
{
    const char *name;
    std::size_t count;
    std::size_t bodySize;
};

std::ostream &operator<<(std::ostream &out, const FurtherInputCase &value)
{
    return out << value.name;
}

constexpr std::array FurtherInputs = {
    FurtherInputCase{ "Get", 1, 0 },
    FurtherInputCase{ "TenGets", 10, 0 },
    FurtherInputCase{ "Post", 1, 40'000 },
};

class LastResponseTest
    : public ConnectionEndTest,
      public testing::WithParamInterface<std::tuple<LastResponseCase, FurtherInputCase>>
{};

// Guards against a reset that cuts the last response of a connection, because a further request
// arrives after the server has closed its socket.
TEST_P(LastResponseTest, IsDeliveredAlthoughFurtherInputArrives)
{
    const auto &[last, further] = GetParam();
    serve();
    PromptCaller caller(m_server->port(), ReceiveBuffer);
    request(caller, last.request);
    if (last.isStopping) {
        m_server->closeAfterResponses();
    }
    HttpHeaders headers;
    if (last.handlerCloses) {
        headers.add("Connection", "close");
    }
    m_exchanges[0]->reply(200, headers, body());
    awaitClose(caller);
    ASSERT_LT(caller.received().size(), BodySize);
    for (std::size_t i = 0; i < further.count; ++i) {
        std::string text(Get);
        if (further.bodySize > 0) {
            text = "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: "
                   + std::to_string(further.bodySize) + "\r\n\r\n"
                   + std::string(further.bodySize, 'y');
        }
        caller.sendIfPossible(text);
        runFor(milliseconds(3));
    }
    readToTheEnd(caller);
    expectWholeResponse(caller);
    EXPECT_EQ(m_exchanges.size(), 1u);
}

INSTANTIATE_TEST_SUITE_P(All, LastResponseTest,
                         testing::Combine(testing::ValuesIn(LastResponses),
                                          testing::ValuesIn(FurtherInputs)),
                         [](const testing::TestParamInfo<LastResponseTest::ParamType> &info) {
                             return std::string(std::get<0>(info.param).name)
                                    + std::get<1>(info.param).name;
                         });

// Guards against a last response that is cut because its caller has closed the connection for
// sending.
TEST_F(ConnectionEndTest, LastResponseIsDeliveredToACallerThatHasEndedItsStream)
{
    serve();
    PromptCaller caller(m_server->port(), ReceiveBuffer);
    request(caller, LastResponses[1].request);
    m_exchanges[0]->reply(200, {}, body());
    awaitClose(caller);
    caller.endStream();
    readToTheEnd(caller);
    expectWholeResponse(caller);
    runUntil([this] { return m_server->lingeringCount() == 0; });
}

// Guards against an idle timeout that cuts a response which the caller is still reading.
TEST_F(ConnectionEndTest, IdleTimeoutDoesNotCutAResponse)
{
    HttpServerLimits limits;
    limits.idleTimeout = milliseconds(50);
    serve(limits);
    PromptCaller caller(m_server->port(), ReceiveBuffer);
    request(caller, "GET / HTTP/1.1\r\nHost: a\r\n\r\n");
    m_exchanges[0]->reply(200, {}, body());
    // The caller reads nothing meanwhile.
    runUntil([this] { return m_server->connectionCount() == 0; });
    caller.sendIfPossible(Get);
    readToTheEnd(caller);
    expectWholeResponse(caller);
}

// Guards against errors that evhttp itself responds with, without passing the request on: it closes
// the connection right after them.
TEST_F(ConnectionEndTest, RefusalByEvhttpDoesNotCutTheResponseBefore)
{
    serve();
    PromptCaller caller(m_server->port(), ReceiveBuffer);
    request(caller, "GET / HTTP/1.1\r\nHost: a\r\n\r\n");
    m_exchanges[0]->reply(200, {}, body());
    caller.send("GET http://a:99999/ HTTP/1.1\r\nHost: a\r\n\r\n");
    awaitClose(caller);
    caller.sendIfPossible(Get);
    readToTheEnd(caller);
    EXPECT_FALSE(caller.isReset());
    EXPECT_THAT(caller.received(), HasSubstr("end"
                                             "HTTP/1.1 400 "));
    EXPECT_EQ(m_exchanges.size(), 1u);
}

// Guards against an error response to a malformed request that cuts the response before it.
TEST_F(ConnectionEndTest, RejectionDoesNotCutTheResponseBefore)
{
    serve();
    PromptCaller caller(m_server->port(), ReceiveBuffer);
    request(caller, "GET / HTTP/1.1\r\nHost: a\r\n\r\n");
    m_exchanges[0]->reply(200, {}, body());
    caller.send("hello\r\n\r\n");
    readSlowlyUntil(caller, [this] { return m_exchanges[0]->isEnded(); });
    caller.sendIfPossible(std::string(20'000, 'z'));
    readToTheEnd(caller);
    EXPECT_FALSE(caller.isReset());
    EXPECT_THAT(caller.received(), HasSubstr("end"
                                             "HTTP/1.1 400 "));
    runUntil([this] { return m_server->connectionCount() == 0; });
}

// Guards against a rejected caller that neither reads nor closes and keeps its connection.
TEST_F(ConnectionEndTest, RejectedCallerThatReadsNothingIsGivenUp)
{
    HttpServerLimits limits;
    limits.linger.stallTime = milliseconds(50);
    limits.linger.closeTime = milliseconds(50);
    serve(limits);
    PromptCaller caller(m_server->port(), ReceiveBuffer);
    request(caller, "GET / HTTP/1.1\r\nHost: a\r\n\r\n");
    m_exchanges[0]->reply(200, {}, body());
    caller.send("hello\r\n\r\n");
    runUntil([this] { return m_server->connectionCount() == 0; });
}

} // namespace
} // namespace Tarragon
