#include "GatewayFixture.h"
#include "net/HttpStatus.h"

#include <gtest/gtest.h>

#include <string>
#include <vector>

namespace Tarragon {
namespace {

/// Bytes that a target or caller has available; more than the kernel's buffers of two connections
/// accept, up to 4 MB each.
constexpr std::size_t FloodBytes = 24'000'000;
/// Most bytes that are taken from a connection which is not read.
constexpr std::size_t MostInBuffers = 9'500'000;

/// Bytes without end in answer to a request.
struct EndlessResponse
{
    const char *name;
    /// The bytes before those that are repeated.
    std::string start;
    std::string repeated;
};

std::ostream &operator<<(std::ostream &out, const EndlessResponse &response)
{
    return out << response.name;
}

std::string flood(const std::string &repeated)
{
    std::string bytes;
    bytes.reserve(FloodBytes + repeated.size());
    while (bytes.size() < FloodBytes) {
        bytes += repeated;
    }
    return bytes;
}

class EndlessBytesTest : public GatewayTest, public testing::WithParamInterface<EndlessResponse>
{};

// Guards against a target that sends bytes without end until they fill the entry's memory, and with
// it end the requests of other callers.
TEST_P(EndlessBytesTest, ConnectionOfAnEndlessResponseIsClosed)
{
    adoptTable();
    const std::string bytes = GetParam().start + flood(GetParam().repeated);
    for (const char *uri : { "/read/1", "/pay/1" }) {
        RawListener &listener = addTarget("t1", answering(bytes));
        const CallerResult result = std::string(uri) == "/pay/1" ? post(uri) : get(uri);
        EXPECT_FALSE(HttpStatus::isSuccess(result.status())) << uri;
        for (const std::unique_ptr<RawSocket> &it : listener.sockets()) {
            runUntil([&it] { return it->isPeerClosed() || it->unsentBytes() == 0; });
            EXPECT_TRUE(it->isPeerClosed()) << uri;
        }
        m_state->registry().remove(TargetId("t1"), m_loop.now());
    }
    addTarget("t2", answering(answer(200, sealed(), "sound")));
    EXPECT_EQ(get("/read/1").status(), 200);
}

const std::string Block(16'384, 'x');
const std::string Sealed = "Attempt-Id: a1\r\nResponse-Seal: s\r\n";
const std::string Chunked = "Transfer-Encoding: chunked\r\n\r\n";

INSTANTIATE_TEST_SUITE_P(
        Kinds, EndlessBytesTest,
        testing::Values(
                EndlessResponse{ "StatusLine", "HTTP/1.1 200 ", Block },
                EndlessResponse{ "Garbage", "", Block },
                EndlessResponse{ "EmptyLines", "", "\r\n" },
                EndlessResponse{ "ZeroBytes", "", std::string(4'096, '\0') },
                EndlessResponse{ "HeaderField", "HTTP/1.1 200 OK\r\nField: ", Block },
                EndlessResponse{ "HeaderFields", "HTTP/1.1 200 OK\r\n", "Field: value\r\n" },
                EndlessResponse{ "InterimResponses", "", "HTTP/1.1 100 Continue\r\n\r\n" },
                EndlessResponse{ "EarlyHints", "", "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n" },
                EndlessResponse{ "UnframedFailure", "HTTP/1.1 500 x\r\n" + Sealed + "\r\n", Block },
                EndlessResponse{ "LongFailure",
                                 "HTTP/1.1 500 x\r\nContent-Length: 9000000000000\r\n" + Sealed
                                         + "\r\n",
                                 Block },
                EndlessResponse{ "FailureInChunks", "HTTP/1.1 500 x\r\n" + Sealed + Chunked,
                                 "5\r\nabcde\r\n" },
                EndlessResponse{ "FailureInOneChunk",
                                 "HTTP/1.1 500 x\r\n" + Sealed + Chunked + "7fffffffffff\r\n",
                                 Block },
                EndlessResponse{ "ChunkExtension", "HTTP/1.1 500 x\r\n" + Sealed + Chunked + "5;",
                                 Block },
                EndlessResponse{ "Trailer", "HTTP/1.1 500 x\r\n" + Sealed + Chunked + "0\r\n",
                                 "Field: value\r\n" },
                EndlessResponse{ "TrailerOfShortLines",
                                 "HTTP/1.1 500 x\r\n" + Sealed + Chunked + "0\r\n", "a\r\n" },
                EndlessResponse{ "RefusalWithLength",
                                 "HTTP/1.1 503 x\r\nNot-Executed: 1\r\nContent-Length: "
                                 "9000000000000\r\n\r\n",
                                 Block },
                EndlessResponse{ "RefusalInChunks",
                                 "HTTP/1.1 503 x\r\nNot-Executed: 1\r\nAttempt-Id: a1\r\n"
                                         + Chunked,
                                 "5\r\nabcde\r\n" },
                EndlessResponse{ "OtherTarget", "HTTP/1.1 421 x\r\nAttempt-Id: a1\r\n" + Chunked,
                                 "5\r\nabcde\r\n" },
                EndlessResponse{ "OtherId",
                                 "HTTP/1.1 200 x\r\nAttempt-Id: b1\r\nResponse-Seal: s\r\n"
                                         + Chunked,
                                 "5\r\nabcde\r\n" },
                EndlessResponse{ "WithoutSeal", "HTTP/1.1 200 x\r\nAttempt-Id: a1\r\n" + Chunked,
                                 "5\r\nabcde\r\n" }),
        [](const testing::TestParamInfo<EndlessResponse> &info) { return info.param.name; });

// Guards against bytes without end after a complete answer, which belong to no request.
TEST_F(GatewayTest, ConnectionWithBytesAfterACompleteAnswerIsClosed)
{
    adoptTable();
    RawListener &listener =
            addTarget("t1", answering(answer(200, sealed(), "whole") + flood(Block)));
    EXPECT_EQ(get("/read/1").response->body, "whole");
    RawSocket &socket = *listener.sockets().front();
    runUntil([&socket] { return socket.isPeerClosed() || socket.unsentBytes() == 0; });
    EXPECT_TRUE(socket.isPeerClosed());
}

// Guards against responses that fill the entry's memory because their callers do not read them.
TEST_F(GatewayTest, ResponsesToCallersThatDoNotReadAreNotCollected)
{
    static constexpr std::size_t CallerCount = 4;
    adoptTable(1, milliseconds(5'000));
    const std::string body = flood(Block);
    RawListener &listener = addTarget("t1", answering(answer(200, sealed(), body)));
    std::vector<std::unique_ptr<RawSocket>> callers;
    for (std::size_t i = 0; i < CallerCount; ++i) {
        callers.push_back(std::make_unique<RawSocket>(m_loop, m_front->port()));
        callers.back()->stopReading();
        callers.back()->send("GET /read/1 HTTP/1.1\r\nHost: stand.example\r\nAttempt-Id: a1\r\n"
                             "Request-Deadline: 5000\r\n\r\n");
    }
    runUntil([this] { return m_arrivals.size() == CallerCount; });
    runFor(milliseconds(1'000));
    for (const std::unique_ptr<RawSocket> &it : listener.sockets()) {
        EXPECT_LT(body.size() - std::min(body.size(), it->unsentBytes()), MostInBuffers);
    }
}

} // namespace
} // namespace Tarragon
