#include "net/HttpServer.h"
#include "Support/LoopTest.h"
#include "Support/RawSocket.h"

#include "base/Error.h"

#include <gmock/gmock.h>

#include <array>
#include <vector>

namespace Tarragon {
namespace {

using testing::EndsWith;
using testing::HasSubstr;
using testing::Not;
using testing::StartsWith;

/// Returns how often the part occurs in the text.
std::size_t countOf(const std::string &text, std::string_view part)
{
    std::size_t count = 0;
    for (std::size_t at = text.find(part); at != std::string::npos; at = text.find(part, at + 1)) {
        ++count;
    }
    return count;
}

class HttpServerTest : public LoopTest
{
protected:
    /// Responds to every request at once with its method, target and body.
    static void reply(const HttpExchangePtr &exchange)
    {
        exchange->reply(200, {},
                        "[" + exchange->method() + " " + exchange->uri() + " "
                                + std::string(exchange->body()) + "]");
    }

    static HttpServer::Handler echo() { return sigc::ptr_fun(&HttpServerTest::reply); }

    std::unique_ptr<HttpServer> serve(const HttpServer::Handler &handler,
                                      const HttpServerLimits &limits = {})
    {
        return std::make_unique<HttpServer>(m_loop, "127.0.0.1", 0, limits,
                                            [this, handler](const HttpExchangePtr &exchange) {
                                                ++m_requests;
                                                handler(exchange);
                                            });
    }

    /// Starts a server that stores its exchanges in m_exchanges for the test to respond to.
    std::unique_ptr<HttpServer> servePending(const HttpServerLimits &limits = {})
    {
        return serve([this](const HttpExchangePtr &exchange) { m_exchanges.push_back(exchange); },
                     limits);
    }

    int m_requests = 0;
    std::vector<HttpExchangePtr> m_exchanges;
};

struct BadRequestCase
{
    const char *name;
    const char *bytes;
    int status;
};

std::ostream &operator<<(std::ostream &out, const BadRequestCase &value)
{
    return out << value.name;
}

class BadRequestTest : public HttpServerTest, public testing::WithParamInterface<BadRequestCase>
{};

// Guards against requests that servers interpret in different ways, which permits request
// smuggling, and against malformed input that evhttp accepts.
TEST_P(BadRequestTest, IsRejectedWithoutReachingTheHandler)
{
    const std::unique_ptr<HttpServer> server = serve(echo());
    RawSocket socket(m_loop, server->port());
    socket.send(GetParam().bytes);
    runUntil([&socket] { return socket.isPeerClosed(); });
    EXPECT_THAT(socket.received(),
                StartsWith("HTTP/1.1 " + std::to_string(GetParam().status) + " "));
    EXPECT_THAT(socket.received(), HasSubstr("Connection: close\r\n"));
    EXPECT_EQ(countOf(socket.received(), "HTTP/1.1 "), 1u);
    EXPECT_EQ(m_requests, 0);
    EXPECT_FALSE(socket.isPeerReset());
}

constexpr std::array BadRequests = {
    BadRequestCase{ "NotHttp", "hello\r\n\r\n", 400 },
    BadRequestCase{ "NoVersion", "GET /\r\n\r\n", 400 },
    BadRequestCase{ "OtherVersion", "GET / HTTP/3.0\r\nHost: a\r\n\r\n", 505 },
    BadRequestCase{ "UnknownMethod", "BREW / HTTP/1.1\r\nHost: a\r\n\r\n", 501 },
    BadRequestCase{ "Trace", "TRACE / HTTP/1.1\r\nHost: a\r\n\r\n", 501 },
    BadRequestCase{ "Connect", "CONNECT a:1 HTTP/1.1\r\nHost: a\r\n\r\n", 400 },
    BadRequestCase{ "TargetWithoutSlash", "GET a HTTP/1.1\r\nHost: a\r\n\r\n", 400 },
    BadRequestCase{ "TargetWithSpace", "GET /a b HTTP/1.1\r\nHost: a\r\n\r\n", 400 },
    BadRequestCase{ "OtherScheme", "GET ftp://a/ HTTP/1.1\r\nHost: a\r\n\r\n", 400 },
    BadRequestCase{ "NoHost", "GET / HTTP/1.1\r\n\r\n", 400 },
    BadRequestCase{ "TwoHosts", "GET / HTTP/1.1\r\nHost: a\r\nHost: a\r\n\r\n", 400 },
    BadRequestCase{ "EmptyHost", "GET / HTTP/1.1\r\nHost:\r\n\r\n", 400 },
    BadRequestCase{ "HostWithPath", "GET / HTTP/1.1\r\nHost: a/b\r\n\r\n", 400 },
    BadRequestCase{ "HostWithUser", "GET / HTTP/1.1\r\nHost: a@b\r\n\r\n", 400 },
    BadRequestCase{ "HostWithBadPort", "GET / HTTP/1.1\r\nHost: a:b\r\n\r\n", 400 },
    BadRequestCase{ "HostWithBadAddress", "GET / HTTP/1.1\r\nHost: [::1\r\n\r\n", 400 },
    BadRequestCase{ "FoldedField", "GET / HTTP/1.1\r\nHost: a\r\nA: b\r\n c\r\n\r\n", 400 },
    BadRequestCase{ "SpaceBeforeColon", "GET / HTTP/1.1\r\nHost: a\r\nA : b\r\n\r\n", 400 },
    BadRequestCase{ "FieldWithoutColon", "GET / HTTP/1.1\r\nHost: a\r\nA\r\n\r\n", 400 },
    BadRequestCase{ "ControlCharacter", "GET / HTTP/1.1\r\nHost: a\r\nA: \x01\r\n\r\n", 400 },
    BadRequestCase{ "BareCarriageReturn", "GET / HTTP/1.1\r\nHost: a\r\nA: b\rc\r\n\r\n", 400 },
    BadRequestCase{ "BareLineFeed", "GET / HTTP/1.1\r\nHost: a\nA: b\r\n\r\n", 400 },
    BadRequestCase{
            "TwoLengths",
            "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nab", 400 },
    BadRequestCase{ "RepeatedLength",
                    "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 1\r\nContent-Length: 1\r\n\r\na",
                    400 },
    BadRequestCase{ "ListOfLengths", "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 1, 1\r\n\r\na",
                    400 },
    BadRequestCase{ "NegativeLength", "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: -1\r\n\r\n",
                    400 },
    BadRequestCase{ "SignedLength", "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: +1\r\n\r\na",
                    400 },
    BadRequestCase{ "HugeLength",
                    "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 99999999999999999999\r\n\r\n",
                    400 },
    BadRequestCase{ "LengthAndChunked",
                    "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 5\r\n"
                    "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
                    400 },
    BadRequestCase{ "ChunkedOverHttp10",
                    "POST / HTTP/1.0\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", 400 },
    BadRequestCase{ "OtherCoding",
                    "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: xchunked\r\n\r\n", 501 },
    BadRequestCase{ "TwoCodings",
                    "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n"
                    "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
                    400 },
    BadRequestCase{ "BodyOfGet",
                    "GET / HTTP/1.1\r\nHost: a\r\nContent-Length: 33\r\n\r\n"
                    "GET /hidden HTTP/1.1\r\nHost: a\r\n\r\n",
                    400 },
    BadRequestCase{ "OtherExpectation",
                    "POST / HTTP/1.1\r\nHost: a\r\nExpect: x\r\nContent-Length: 1\r\n\r\n", 417 },
    BadRequestCase{ "ChunkSizeNotHexadecimal",
                    "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\nx\r\n", 400 },
    BadRequestCase{ "ChunkSizeMissing",
                    "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n\r\n", 400 },
    BadRequestCase{ "NegativeChunkSize",
                    "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n-1\r\n", 400 },
    BadRequestCase{ "HugeChunkSize",
                    "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n"
                    "ffffffffffffffff1\r\n",
                    400 },
    BadRequestCase{ "ChunkLongerThanItsSize",
                    "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n"
                    "1\r\nab\r\n0\r\n\r\n",
                    400 },
    BadRequestCase{ "ChunkEndedByLineFeed",
                    "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n"
                    "1\na\n0\n\n",
                    400 },
    BadRequestCase{ "BodyAboveLimit",
                    "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 1048577\r\n\r\n", 413 },
    BadRequestCase{ "ExpectedBodyAboveLimit",
                    "POST / HTTP/1.1\r\nHost: a\r\nExpect: 100-continue\r\n"
                    "Content-Length: 1048577\r\n\r\n",
                    413 },
};

INSTANTIATE_TEST_SUITE_P(All, BadRequestTest, testing::ValuesIn(BadRequests),
                         [](const testing::TestParamInfo<BadRequestCase> &info) {
                             return std::string(info.param.name);
                         });

// Guards against a request head of unlimited length filling the memory, and against an error
// response that the peer loses because closing a socket with unread input sends a reset.
TEST_F(HttpServerTest, OversizedHeaderIsRejected)
{
    const std::unique_ptr<HttpServer> server = serve(echo());
    RawSocket socket(m_loop, server->port());
    socket.send("GET / HTTP/1.1\r\nHost: a\r\n");
    for (int i = 0; i < 20'000; ++i) {
        socket.send("Filler: 0123456789012345678901234567890123456789\r\n");
    }
    runUntil([&socket] { return socket.isPeerClosed(); });
    EXPECT_THAT(socket.received(), StartsWith("HTTP/1.1 431 "));
    EXPECT_FALSE(socket.isPeerReset());
    EXPECT_EQ(m_requests, 0);
}

// Guards against a limit on the request head that rejects a head of exactly the maximum size.
TEST_F(HttpServerTest, HeaderAtTheLimitIsAccepted)
{
    HttpServerLimits limits;
    limits.headerBytes = ByteCount{ 200 };
    const std::unique_ptr<HttpServer> server = serve(echo(), limits);
    std::string head = "GET / HTTP/1.1\r\nHost: a\r\nFiller: ";
    head.append(limits.headerBytes.value - head.size() - 4, 'x');
    RawSocket socket(m_loop, server->port());
    socket.send(head + "\r\n\r\n");
    runUntil([&socket] { return !socket.received().empty(); });
    EXPECT_THAT(socket.received(), StartsWith("HTTP/1.1 200 "));
    RawSocket longer(m_loop, server->port());
    longer.send(head + "x\r\n\r\n");
    runUntil([&longer] { return !longer.received().empty(); });
    EXPECT_THAT(longer.received(), StartsWith("HTTP/1.1 431 "));
}

// Guards against chunked bodies that bypass the limit, and against rejection of bodies of exactly
// the maximum size.
TEST_F(HttpServerTest, BodyLimitHoldsForBothFramings)
{
    HttpServerLimits limits;
    limits.bodyBytes = ByteCount{ 200'000 };
    std::size_t received = 0;
    const std::unique_ptr<HttpServer> server = serve(
            [&received](const HttpExchangePtr &exchange) {
                received = exchange->body().size();
                exchange->reply(200, {}, "");
            },
            limits);
    const std::string body(200'000, 'x');
    for (const std::string &framed :
         { "Content-Length: 200000\r\n\r\n" + body,
           "Transfer-Encoding: chunked\r\n\r\n30d40\r\n" + body + "\r\n0\r\n\r\n" }) {
        received = 0;
        RawSocket socket(m_loop, server->port());
        socket.send("POST / HTTP/1.1\r\nHost: a\r\n" + framed);
        runUntil([&socket] { return !socket.received().empty(); });
        EXPECT_THAT(socket.received(), StartsWith("HTTP/1.1 200 "));
        EXPECT_EQ(received, body.size());
    }
    RawSocket socket(m_loop, server->port());
    socket.send("POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n30d40\r\n" + body
                + "\r\n1\r\nx\r\n0\r\n\r\n");
    runUntil([&socket] { return socket.isPeerClosed(); });
    EXPECT_THAT(socket.received(), StartsWith("HTTP/1.1 413 "));
}

// Guards against requests lost, merged or answered out of order on one connection.
TEST_F(HttpServerTest, PipelinedRequestsAreAnsweredInOrder)
{
    const std::unique_ptr<HttpServer> server = serve(echo());
    RawSocket socket(m_loop, server->port());
    socket.send("GET /1 HTTP/1.1\r\nHost: a\r\n\r\n"
                "POST /2 HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\n\r\nabc"
                "\r\nPUT /3 HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n"
                "2;x\r\nde\r\n1\r\nf\r\n0\r\nT: x\r\n\r\n"
                "DELETE /4 HTTP/1.1\r\nHost: a\r\n\r\n"
                "POST /5 HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n"
                "GET /6 HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n");
    runUntil([&socket] { return socket.isPeerClosed(); });
    std::vector<std::string> bodies;
    const std::string &received = socket.received();
    for (std::size_t at = received.find('['); at != std::string::npos;
         at = received.find('[', at + 1)) {
        bodies.push_back(received.substr(at, received.find(']', at) + 1 - at));
    }
    EXPECT_THAT(bodies, testing::ElementsAre("[GET /1 ]", "[POST /2 abc]", "[PUT /3 def]",
                                             "[DELETE /4 ]", "[POST /5 ]", "[GET /6 ]"));
    EXPECT_EQ(server->exchangesInProgress(), 0u);
}

// Guards against the handler receiving a request that may change state while the one before it is
// in progress, and against a malformed request being rejected out of turn.
TEST_F(HttpServerTest, PipelinedRequestWaitsForThePreviousOne)
{
    const std::unique_ptr<HttpServer> server = servePending();
    RawSocket socket(m_loop, server->port());
    socket.send("GET /1 HTTP/1.1\r\nHost: a\r\n\r\n");
    runUntil([this] { return m_exchanges.size() == 1; });
    socket.send("DELETE /2 HTTP/1.1\r\nHost: a\r\n\r\nGET / HTTP/1.1\r\n\r\n");
    runFor(milliseconds(20));
    EXPECT_EQ(m_exchanges.size(), 1u);
    m_exchanges[0]->reply(200, {}, "one");
    runUntil([this] { return m_exchanges.size() == 2; });
    EXPECT_EQ(m_exchanges[1]->path(), "/2");
    m_exchanges[1]->reply(200, {}, "two");
    runUntil([&socket] { return socket.isPeerClosed(); });
    EXPECT_THAT(socket.received(), HasSubstr("two"));
    // The third head has no Host. It is checked like the others although it was pipelined.
    EXPECT_THAT(socket.received(), HasSubstr("HTTP/1.1 400 "));
    EXPECT_EQ(m_requests, 2);
}

// Guards against loss of a head or body that arrives byte by byte.
TEST_F(HttpServerTest, RequestMayArriveInSingleBytes)
{
    const std::unique_ptr<HttpServer> server = serve(echo());
    const std::string bytes = "POST /a HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n"
                              "1;e\r\nx\r\n0\r\n\r\n"
                              "POST /b HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\n\r\nyz";
    RawSocket socket(m_loop, server->port());
    std::size_t next = 0;
    const Timer timer = m_loop.scheduleEvery(microseconds(100), [&] {
        if (next < bytes.size()) {
            socket.send(bytes.substr(next++, 1));
        }
    });
    runUntil([&socket] { return socket.received().find("/b") != std::string::npos; });
    EXPECT_THAT(socket.received(), HasSubstr("[POST /a x]"));
    EXPECT_THAT(socket.received(), HasSubstr("[POST /b yz]"));
}

// Guards against clients that wait without end for 100 Continue before they send their body.
TEST_F(HttpServerTest, ContinueIsSentOnExpectation)
{
    const std::unique_ptr<HttpServer> server = serve(echo());
    for (const char *framing : { "Content-Length: 2", "Transfer-Encoding: chunked" }) {
        RawSocket socket(m_loop, server->port());
        socket.send(std::string("POST / HTTP/1.1\r\nHost: a\r\nExpect: 100-continue\r\n") + framing
                    + "\r\n\r\n");
        runUntil([&socket] { return socket.received() == "HTTP/1.1 100 Continue\r\n\r\n"; });
        socket.send(framing[0] == 'C' ? "ok" : "2\r\nok\r\n0\r\n\r\n");
        runUntil([&socket] { return socket.received().ends_with("]"); });
        EXPECT_THAT(socket.received(), EndsWith("[POST / ok]"));
    }
}

// Guards against methods of the interface that evhttp does not allow by itself, and against bodies
// in answers to HEAD.
TEST_F(HttpServerTest, AllMethodsOfTheInterfaceAreServed)
{
    const std::unique_ptr<HttpServer> server = serve(echo());
    for (const std::string method :
         { "GET", "HEAD", "POST", "PUT", "DELETE", "OPTIONS", "PATCH" }) {
        RawSocket socket(m_loop, server->port());
        socket.send(method + " / HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n");
        runUntil([&socket] { return socket.isPeerClosed(); });
        EXPECT_THAT(socket.received(), StartsWith("HTTP/1.1 200 "));
        EXPECT_THAT(socket.received(),
                    HasSubstr("Content-Length: " + std::to_string(method.size() + 5) + "\r\n"));
        EXPECT_EQ(socket.received().ends_with("]"), method != "HEAD");
    }
}

// Guards against an absolute target being answered like a request to a proxy.
TEST_F(HttpServerTest, AbsoluteTargetIsReducedToItsPath)
{
    const std::unique_ptr<HttpServer> server = serve(echo());
    RawSocket socket(m_loop, server->port());
    socket.send("GET http://example:80/a?b=c HTTP/1.1\r\nHost: example\r\n\r\n"
                "GET http://example HTTP/1.1\r\nHost: example\r\nConnection: close\r\n\r\n");
    runUntil([&socket] { return socket.isPeerClosed(); });
    EXPECT_THAT(socket.received(), HasSubstr("[GET /a?b=c ]"));
    EXPECT_THAT(socket.received(), HasSubstr("[GET / ]"));
}

// Guards against headers in the response that the handler has not set.
TEST_F(HttpServerTest, OnlyDateAndFramingHeadersAreAdded)
{
    const std::unique_ptr<HttpServer> server = serve([](const HttpExchangePtr &exchange) {
        HttpHeaders headers;
        headers.add("Content-Length", "99");
        headers.add("Transfer-Encoding", "chunked");
        headers.add("A", "b");
        exchange->reply(200, headers, "four");
    });
    RawSocket socket(m_loop, server->port());
    socket.send("GET / HTTP/1.1\r\nHost: a\r\n\r\n");
    runUntil([&socket] { return socket.received().ends_with("four"); });
    EXPECT_THAT(socket.received(),
                testing::MatchesRegex("HTTP/1.1 200 OK\r\nA: b\r\nDate: [^\r]*\r\n"
                                      "Content-Length: 4\r\n\r\nfour"));
}

// Guards against a streamed response whose end an HTTP/1.0 client cannot detect: evhttp would add
// "Content-Length: 0" on a keep-alive connection.
TEST_F(HttpServerTest, StreamOverHttp10EndsWithTheConnection)
{
    const std::unique_ptr<HttpServer> server = serve([](const HttpExchangePtr &exchange) {
        EXPECT_FALSE(exchange->supportsChunked());
        exchange->startReply(200, {});
        exchange->send("streamed");
        exchange->finish();
    });
    RawSocket socket(m_loop, server->port());
    socket.send("GET / HTTP/1.0\r\nConnection: keep-alive\r\n\r\n");
    runUntil([&socket] { return socket.isPeerClosed(); });
    EXPECT_FALSE(socket.isPeerReset());
    EXPECT_THAT(socket.received(), EndsWith("\r\n\r\nstreamed"));
    EXPECT_THAT(socket.received(), Not(HasSubstr("Content-Length")));
}

// Guards against an aborted response that looks complete (invariant 3).
TEST_F(HttpServerTest, AbortIsVisibleToThePeer)
{
    const std::unique_ptr<HttpServer> server = serve([](const HttpExchangePtr &exchange) {
        if (exchange->path() != "/unstarted") {
            HttpHeaders headers;
            if (exchange->path() == "/length") {
                headers.add("Content-Length", "10");
            }
            exchange->startReply(200, headers);
            exchange->send("part");
        }
        exchange->abort();
        EXPECT_TRUE(exchange->isEnded());
    });
    for (const char *line : { "GET /unstarted HTTP/1.1", "GET /length HTTP/1.1",
                              "GET /chunked HTTP/1.1", "GET /close HTTP/1.0" }) {
        RawSocket socket(m_loop, server->port());
        socket.send(std::string(line) + "\r\nHost: a\r\n\r\n");
        runUntil([&socket] { return socket.isPeerClosed(); });
        EXPECT_TRUE(socket.isPeerReset()) << line;
        EXPECT_THAT(socket.received(), Not(HasSubstr("0\r\n\r\n")));
    }
    EXPECT_EQ(server->exchangesInProgress(), 0u);
}

// Guards against an abort that looks like a regular end although the peer has received bytes
// already.
TEST_F(HttpServerTest, AbortAfterSentBytesIsVisibleToThePeer)
{
    const std::unique_ptr<HttpServer> server = servePending();
    for (const char *version : { "HTTP/1.0", "HTTP/1.1" }) {
        m_exchanges.clear();
        RawSocket socket(m_loop, server->port());
        socket.send(std::string("GET / ") + version + "\r\nHost: a\r\n\r\n");
        runUntil([this] { return m_exchanges.size() == 1; });
        m_exchanges[0]->startReply(200, {});
        m_exchanges[0]->send("part");
        runUntil([&socket] { return socket.received().find("part") != std::string::npos; });
        m_exchanges[0]->abort();
        runUntil([&socket] { return socket.isPeerClosed(); });
        EXPECT_TRUE(socket.isPeerReset()) << version;
    }
}

// Guards against a caller that waits without end because a handler dropped its exchange or threw an
// exception.
TEST_F(HttpServerTest, DroppedExchangeAborts)
{
    const std::unique_ptr<HttpServer> server = serve([](const HttpExchangePtr &exchange) {
        if (exchange->path() == "/error") {
            throw Error("handler failed");
        }
    });
    for (const char *path : { "/dropped", "/error" }) {
        RawSocket socket(m_loop, server->port());
        socket.send(std::string("GET ") + path + " HTTP/1.1\r\nHost: a\r\n\r\n");
        runUntil([&socket] { return socket.isPeerClosed(); });
        EXPECT_TRUE(socket.isPeerReset());
        EXPECT_EQ(socket.received(), "");
    }
    EXPECT_EQ(server->exchangesInProgress(), 0u);
}

// Guards against a body that differs from its Content-Length, so that the peer would misread the
// next response.
TEST_F(HttpServerTest, StreamThatDiffersFromItsLengthAborts)
{
    const std::unique_ptr<HttpServer> server = serve([](const HttpExchangePtr &exchange) {
        HttpHeaders headers;
        headers.add("Content-Length", "4");
        exchange->startReply(200, headers);
        if (exchange->path() == "/long") {
            EXPECT_THROW(exchange->send("five!"), Error);
        } else {
            exchange->send("abc");
            EXPECT_THROW(exchange->finish(), Error);
        }
        EXPECT_TRUE(exchange->isEnded());
    });
    for (const char *path : { "/long", "/short" }) {
        RawSocket socket(m_loop, server->port());
        socket.send(std::string("GET ") + path + " HTTP/1.1\r\nHost: a\r\n\r\n");
        runUntil([&socket] { return socket.isPeerClosed(); });
        EXPECT_TRUE(socket.isPeerReset());
    }
}

// Guards against control characters in response headers, which would permit header injection.
TEST_F(HttpServerTest, ControlCharactersInResponseHeadersAreRefused)
{
    const std::unique_ptr<HttpServer> server = serve([](const HttpExchangePtr &exchange) {
        HttpHeaders headers;
        headers.add("A", "b\r\nC: d");
        EXPECT_THROW(exchange->reply(200, headers, ""), Error);
        EXPECT_THROW(exchange->startReply(200, headers), Error);
        exchange->reply(500, {}, "");
    });
    RawSocket socket(m_loop, server->port());
    socket.send("GET / HTTP/1.1\r\nHost: a\r\n\r\n");
    runUntil([&socket] { return !socket.received().empty(); });
    EXPECT_THAT(socket.received(), StartsWith("HTTP/1.1 500 "));
    EXPECT_THAT(socket.received(), Not(HasSubstr("C: d")));
}

class DisconnectTest : public HttpServerTest, public testing::WithParamInterface<const char *>
{};

// Guards against work that continues for a caller that has disconnected. evhttp stops reading while
// a request is in progress, so a disconnect must be detected also while no response is written and
// while further input is pending.
TEST_P(DisconnectTest, IsSeenWhileTheExchangeIsInProgress)
{
    const std::string way = GetParam();
    const std::unique_ptr<HttpServer> server = servePending();
    RawSocket socket(m_loop, server->port());
    socket.send("POST /a HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n"
                "1\r\nx\r\n0\r\n\r\n");
    if (way == "ResetBehindInput") {
        socket.send("GET /b HTTP/1.1\r\nHost: a\r\n\r\n");
    }
    runUntil([this] { return m_exchanges.size() == 1; });
    if (way == "CloseWhileStreaming") {
        m_exchanges[0]->startReply(200, {});
        m_exchanges[0]->send("part");
        runUntil([&socket] { return !socket.received().empty(); });
    }
    int disconnects = 0;
    m_exchanges[0]->disconnected().connect([this, &disconnects] {
        ++disconnects;
        EXPECT_TRUE(m_exchanges[0]->isEnded());
    });
    if (way.starts_with("Reset")) {
        socket.reset();
    } else {
        socket.close();
    }
    runUntil([&disconnects] { return disconnects > 0; });
    EXPECT_EQ(disconnects, 1);
    EXPECT_EQ(server->exchangesInProgress(), 0u);
    // The request's fields stay readable, and sending has no effect any more.
    EXPECT_EQ(m_exchanges[0]->uri(), "/a");
    EXPECT_EQ(m_exchanges[0]->body(), "x");
    EXPECT_EQ(m_exchanges[0]->headers().find("host"), "a");
    EXPECT_EQ(m_exchanges[0]->remoteAddress(), "127.0.0.1");
    EXPECT_EQ(m_exchanges[0]->bufferedBytes(), 0u);
    m_exchanges[0]->send("more");
    m_exchanges[0]->reply(200, {}, "late");
    m_exchanges[0]->finish();
    m_exchanges[0]->abort();
    EXPECT_EQ(m_requests, 1);
}

INSTANTIATE_TEST_SUITE_P(All, DisconnectTest,
                         testing::Values("Close", "Reset", "CloseWhileStreaming",
                                         "ResetBehindInput"),
                         [](const testing::TestParamInfo<const char *> &info) {
                             return std::string(info.param);
                         });

// Guards against unbounded buffers for a slow caller: the handler can read how many bytes are
// buffered and is notified when they have been written.
TEST_F(HttpServerTest, SlowReaderIsReportedByBufferedBytes)
{
    constexpr std::size_t HighWater = 256 * std::size_t(1024);
    constexpr std::size_t Total = std::size_t(16) << 20U;
    const std::unique_ptr<HttpServer> server = servePending();
    RawSocket socket(m_loop, server->port(), 64 * 1024);
    socket.send("GET / HTTP/1.1\r\nHost: a\r\n\r\n");
    runUntil([this] { return m_exchanges.size() == 1; });
    socket.stopReading();
    const HttpExchangePtr exchange = m_exchanges[0];
    const std::string piece(16 * std::size_t(1024), 'x');
    std::size_t sent = 0;
    std::size_t highest = 0;
    const auto fill = [&] {
        while (sent < Total && exchange->bufferedBytes() < HighWater) {
            exchange->send(piece);
            sent += piece.size();
            highest = std::max(highest, exchange->bufferedBytes());
        }
        if (sent == Total && !exchange->isEnded()) {
            exchange->finish();
        }
    };
    HttpHeaders headers;
    headers.add("Content-Length", std::to_string(Total));
    exchange->drained().connect(fill);
    exchange->startReply(200, headers);
    fill();
    std::size_t before = 0;
    do {
        before = sent;
        runFor(milliseconds(50));
    } while (sent != before);
    EXPECT_LT(sent, Total);
    EXPECT_GT(exchange->bufferedBytes(), 0u);
    socket.startReading();
    runUntil([&] { return socket.received().size() > Total; });
    EXPECT_EQ(sent, Total);
    EXPECT_LT(highest, HighWater + 2 * piece.size());
    const std::size_t head = socket.received().find("\r\n\r\n") + 4;
    EXPECT_EQ(socket.received().size() - head, Total);
}

// Guards against closing a connection whose exchange takes longer than the idle timeout.
TEST_F(HttpServerTest, IdleTimeoutDoesNotEndAnExchange)
{
    HttpServerLimits limits;
    limits.idleTimeout = seconds(1);
    const std::unique_ptr<HttpServer> server = servePending(limits);
    RawSocket idle(m_loop, server->port());
    RawSocket waiting(m_loop, server->port());
    RawSocket streaming(m_loop, server->port());
    waiting.send("GET /waiting HTTP/1.1\r\nHost: a\r\n\r\n");
    runUntil([this] { return m_exchanges.size() == 1; });
    streaming.send("GET /streaming HTTP/1.1\r\nHost: a\r\n\r\n");
    runUntil([this] { return m_exchanges.size() == 2; });
    m_exchanges[1]->startReply(200, {});
    m_exchanges[1]->send("first");
    // The idle connection was opened first; its end shows that the idle timeout has passed for all.
    runUntil([&idle] { return idle.isPeerClosed(); });
    runFor(milliseconds(200));
    EXPECT_FALSE(waiting.isPeerClosed());
    EXPECT_FALSE(streaming.isPeerClosed());
    m_exchanges[0]->reply(200, {}, "late");
    m_exchanges[1]->send("second");
    m_exchanges[1]->finish();
    runUntil([&] {
        return waiting.received().ends_with("late") && streaming.received().ends_with("0\r\n\r\n");
    });
    // Afterwards the connections are idle again.
    runUntil([&] { return waiting.isPeerClosed() && streaming.isPeerClosed(); });
}

// Guards against an idle timeout that starts when a further request arrives during an exchange.
TEST_F(HttpServerTest, PipelinedRequestStartsNoIdleTimeout)
{
    HttpServerLimits limits;
    limits.idleTimeout = seconds(1);
    const std::unique_ptr<HttpServer> server = servePending(limits);
    RawSocket waiting(m_loop, server->port());
    waiting.send("GET /first HTTP/1.1\r\nHost: a\r\n\r\n");
    runUntil([this] { return m_exchanges.size() == 1; });
    waiting.send("GET /second HTTP/1.1\r\nHost: a\r\n\r\n");
    RawSocket idle(m_loop, server->port());
    runUntil([&idle] { return idle.isPeerClosed(); });
    runFor(milliseconds(200));
    EXPECT_FALSE(waiting.isPeerClosed());
    m_exchanges[0]->reply(200, {}, "one");
    runUntil([this] { return m_exchanges.size() == 2; });
    m_exchanges[1]->reply(200, {}, "two");
    runUntil([&waiting] { return waiting.received().ends_with("two"); });
    EXPECT_NE(waiting.received().find("one"), std::string::npos);
    // Afterwards the connection is idle again.
    runUntil([&waiting] { return waiting.isPeerClosed(); });
}

// Guards against a changed idle timeout that is ignored on open connections, and against one that
// applies at once and closes a connection that its caller may still use.
TEST_F(HttpServerTest, ChangedIdleTimeoutAppliesFromTheNextRequest)
{
    HttpServerLimits limits;
    limits.idleTimeout = seconds(60);
    const std::unique_ptr<HttpServer> server = serve(echo(), limits);
    RawSocket used(m_loop, server->port());
    RawSocket unused(m_loop, server->port());
    used.send("GET /a HTTP/1.1\r\nHost: a\r\n\r\n");
    unused.send("GET /a HTTP/1.1\r\nHost: a\r\n\r\n");
    runUntil([&] { return !used.received().empty() && !unused.received().empty(); });
    limits.idleTimeout = milliseconds(100);
    server->setLimits(limits);
    used.send("GET /b HTTP/1.1\r\nHost: a\r\n\r\n");
    runUntil([&used] { return used.isPeerClosed(); });
    EXPECT_FALSE(unused.isPeerClosed());
}

// Guards against a head that arrives so slowly that its connection stays open without end.
TEST_F(HttpServerTest, SlowHeadIsRejected)
{
    HttpServerLimits limits;
    limits.headerTimeout = seconds(1);
    const std::unique_ptr<HttpServer> server = serve(echo(), limits);
    RawSocket socket(m_loop, server->port());
    socket.send("GET / HTTP/1.1\r\nHost: a\r\nFiller: ");
    const Timer timer = m_loop.scheduleEvery(milliseconds(50), [&socket] { socket.send("x"); });
    runUntil([&socket] { return socket.isPeerClosed(); });
    EXPECT_THAT(socket.received(), StartsWith("HTTP/1.1 408 "));
}

// Guards against callers that continue to use a connection of a server that is shutting down, and
// against interrupting exchanges in progress.
TEST_F(HttpServerTest, StopListeningLetsExchangesEnd)
{
    const std::unique_ptr<HttpServer> server = servePending();
    RawSocket socket(m_loop, server->port());
    socket.send("GET / HTTP/1.1\r\nHost: a\r\n\r\n");
    runUntil([this] { return m_exchanges.size() == 1; });
    server->stopListening();
    EXPECT_EQ(server->exchangesInProgress(), 1u);
    m_exchanges[0]->reply(200, {}, "done");
    runUntil([&socket] { return socket.isPeerClosed(); });
    EXPECT_THAT(socket.received(), HasSubstr("Connection: close\r\n"));
    EXPECT_THAT(socket.received(), EndsWith("done"));
    EXPECT_EQ(server->exchangesInProgress(), 0u);
    server->stopListening();
}

// Guards against exchanges that use a server after its destruction.
TEST_F(HttpServerTest, ExchangeMayOutliveTheServer)
{
    std::unique_ptr<HttpServer> server = servePending();
    RawSocket socket(m_loop, server->port());
    RawSocket other(m_loop, server->port());
    socket.send("GET /a HTTP/1.1\r\nHost: a\r\n\r\n");
    runUntil([this] { return m_exchanges.size() == 1; });
    server.reset();
    EXPECT_TRUE(m_exchanges[0]->isEnded());
    EXPECT_EQ(m_exchanges[0]->path(), "/a");
    m_exchanges[0]->reply(200, {}, "late");
    m_exchanges.clear();
    runUntil([&] { return socket.isPeerClosed() && other.isPeerClosed(); });
}

// Guards against a server that accepts a host name as an address, or does not report that its port
// is in use.
TEST_F(HttpServerTest, ListenErrorsAreReported)
{
    const std::unique_ptr<HttpServer> server = serve(echo());
    EXPECT_THROW(HttpServer(m_loop, "localhost", 0, {}, echo()), Error);
    EXPECT_THROW(HttpServer(m_loop, "127.0.0.1", server->port(), {}, echo()), Error);
}

// Guards against query parameters that are not decoded, or that are matched by a part of their
// name.
TEST_F(HttpServerTest, QueryParametersAreDecoded)
{
    std::string seen;
    const std::unique_ptr<HttpServer> server = serve([&seen](const HttpExchangePtr &exchange) {
        seen = exchange->query("a") + "|" + exchange->query("b") + "|" + exchange->query("c") + "|"
               + exchange->query("none");
        exchange->reply(204, {}, "");
    });
    RawSocket socket(m_loop, server->port());
    socket.send("GET /?ba=0&a=%3A%3a1&b&c=x+y%2b&a=2 HTTP/1.1\r\nHost: a\r\n\r\n");
    runUntil([&socket] { return !socket.received().empty(); });
    EXPECT_EQ(seen, "::1||x y+|");
    EXPECT_THAT(socket.received(), StartsWith("HTTP/1.1 204 "));
    EXPECT_THAT(socket.received(), Not(HasSubstr("Content-Length")));
}

} // namespace
} // namespace Tarragon
