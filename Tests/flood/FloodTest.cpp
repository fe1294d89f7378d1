#include "FloodClient.h"

#include "StandIns/platform/StandInStore.h"
#include "Support/GatewayProcess.h"
#include "Support/LoopTest.h"
#include "net/HttpClient.h"

#include <algorithm>
#include <cstdio>
#include <iostream>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace Tarragon {
namespace {

/// Limit on request bodies in the floods. With the clients below, bodies of this size exceed the
/// memory of the smallest machine twice.
constexpr std::size_t FloodBodyBytes = 8'388'608;
constexpr std::size_t ClientCount = 40;
/// The largest request body that operators allow.
constexpr std::size_t LargestBodyBytes = 67'108'864;
/// Memory of the smallest machine.
constexpr std::size_t MaxMemoryBytes = 160'000'000;
/// Twice the number of clients, and 70 for the process's own files, the store and the target.
constexpr std::size_t MaxDescriptors = 150;
/// Time for a flood. A client that the process neither reads nor closes does not extend it.
constexpr seconds FloodTime{ 10 };
/// Number of bytes that a client withholds when it stops short of a body's end.
constexpr std::size_t MissingBytes = 10;
constexpr std::size_t AllAtOnce = LargestBodyBytes;
constexpr std::size_t SmallPiece = 16'384;

std::string chunked(std::size_t bodyBytes, std::size_t chunkBytes)
{
    char size[32];
    std::snprintf(size, sizeof size, "%zx\r\n", chunkBytes);
    const std::string chunk = size + std::string(chunkBytes, 'x') + "\r\n";
    std::string result;
    result.reserve((bodyBytes / chunkBytes + 1) * chunk.size());
    for (std::size_t n = 0; n + chunkBytes <= bodyBytes; n += chunkBytes) {
        result += chunk;
    }
    return result + "0\r\n\r\n";
}

/// Starts the real process with a store and a target, and floods it.
class FloodTest : public LoopTest
{
protected:
    FloodTest()
    {
        HttpServerLimits limits;
        limits.bodyBytes = ByteCount{ LargestBodyBytes };
        m_target.setLimits(limits);
    }

    void start(std::size_t bodyLimit)
    {
        m_standIn.objects().put("config", "main", desiredState(bodyLimit));
        m_standIn.objects().put("servers", "t1",
                                { { "service", "one" },
                                  { "address", "127.0.0.1:" + std::to_string(m_target.port()) },
                                  { "zone", "d1" },
                                  { "slots", 4 },
                                  { "state", "ready" } });
        m_process = std::make_unique<GatewayProcess>(m_standIn.port());
        const MonotonicTime begin = m_loop.now();
        while (askOnce("GET", "") != 200 && m_loop.now() - begin < FloodTime) {
            runFor(milliseconds(50));
        }
    }
    static nlohmann::json desiredState(std::size_t bodyLimit)
    {
        return {
            { "version", "r1" },
            { "routes",
              { { "columns",
                  { "name", "host", "path_prefix", "kind", "timeout_s", "target_latency_s",
                    "service" } },
                { "rows", { { "r-1", "a.example", "/x/", "unsafe", 5.0, 0.5, "one" } } } } },
            { "services", { { "columns", { "name" } }, { "rows", { { "one" } } } } },
            { "limits",
              { { "max_header_bytes", 16'384 },
                { "max_body_bytes", bodyLimit },
                { "idle_timeout_s", 60 } } },
        };
    }

    /// Sends a request and returns the status of its response; 0 if there is none.
    int askOnce(const std::string &method, const std::string &body)
    {
        HttpRequest request;
        request.address = "127.0.0.1";
        request.port = m_process->frontPort();
        request.method = method;
        request.uri = "/x/1";
        request.headers.set("Host", "a.example");
        request.headers.set("Attempt-Id", "a" + std::to_string(++m_requests));
        request.body = body;
        std::optional<int> status;
        const HttpCallPtr call = m_client.fetch(
                request, ByteCount{ 1'000'000 },
                [&status](const HttpResponse &response) { status = response.head.status; },
                [&status](const HttpFailure &) { status = 0; });
        runUntil([&status] { return status.has_value(); });
        return status.value_or(0);
    }

    void checkProcess()
    {
        EXPECT_TRUE(m_process->isAlive());
        EXPECT_LT(m_process->peakMemory(), MaxMemoryBytes);
        EXPECT_LT(m_mostDescriptors, MaxDescriptors);
        RecordProperty("peakMemory", std::to_string(m_process->peakMemory()));
        std::cout << "peak memory " << m_process->peakMemory() << " bytes, " << m_mostDescriptors
                  << " descriptors\n";
    }

    /// Floods the process, and then checks it and sends an ordinary request while the clients'
    /// connections are open.
    void flood(FloodMessage message)
    {
        start(FloodBodyBytes);
        message.head = "POST /x/1 HTTP/1.1\r\nHost: a.example\r\n" + message.head + "\r\n\r\n";
        const std::shared_ptr<const FloodMessage> shared =
                std::make_shared<const FloodMessage>(std::move(message));
        std::vector<std::unique_ptr<FloodClient>> clients;
        for (std::size_t n = 0; n < ClientCount; ++n) {
            clients.push_back(
                    std::make_unique<FloodClient>(m_loop, m_process->frontPort(), shared));
        }
        const MonotonicTime begin = m_loop.now();
        const auto isSending = [](const std::unique_ptr<FloodClient> &it) { return !it->isDone(); };
        while (m_loop.now() - begin < FloodTime
               && std::any_of(clients.begin(), clients.end(), isSending)) {
            runFor(milliseconds(100));
            m_mostDescriptors = std::max(m_mostDescriptors, m_process->openDescriptors());
        }
        EXPECT_EQ(askOnce("GET", ""), 200);
        checkProcess();
    }
    static FloodMessage wholeBody(std::size_t missing, std::size_t pieceBytes)
    {
        return { "Content-Length: " + std::to_string(FloodBodyBytes),
                 std::string(FloodBodyBytes - missing, 'x'), 1, pieceBytes };
    }
    static FloodMessage chunkedBody(std::size_t missing, std::size_t chunkBytes)
    {
        const std::string body = chunked(FloodBodyBytes, chunkBytes);
        return { "Transfer-Encoding: chunked", body.substr(0, body.size() - missing), 1,
                 AllAtOnce };
    }

    StandInStore m_standIn{ m_loop, "127.0.0.1", 0, 0 };
    HttpServer m_target{ m_loop, "127.0.0.1", 0, HttpServerLimits{},
                         [](const HttpExchangePtr &exchange) {
                             HttpHeaders headers;
                             headers.add("Response-Seal", "s");
                             headers.add("Attempt-Id",
                                         exchange->headers().find("Attempt-Id").value_or(""));
                             exchange->reply(200, headers, "done");
                         } };
    HttpClient m_client{ m_loop };
    std::unique_ptr<GatewayProcess> m_process;
    std::size_t m_mostDescriptors = 0;
    int m_requests = 0;
};

// Each of these guards against clients that bring the process down through its memory.

TEST_F(FloodTest, WholeBodies)
{
    flood(wholeBody(0, AllAtOnce));
}

TEST_F(FloodTest, BodiesInPieces)
{
    flood(wholeBody(0, SmallPiece));
}

TEST_F(FloodTest, BodiesThatStopShort)
{
    flood(wholeBody(MissingBytes, AllAtOnce));
}

TEST_F(FloodTest, BodiesInPiecesThatStopShort)
{
    flood(wholeBody(MissingBytes, SmallPiece));
}

TEST_F(FloodTest, LargeChunks)
{
    flood(chunkedBody(0, 60'000));
}

TEST_F(FloodTest, LargeChunksThatStopShort)
{
    flood(chunkedBody(MissingBytes, 60'000));
}

TEST_F(FloodTest, SmallChunks)
{
    flood(chunkedBody(0, 16));
}

TEST_F(FloodTest, SmallChunksThatStopShort)
{
    flood(chunkedBody(MissingBytes, 16));
}

TEST_F(FloodTest, DeclaredBodiesOverTheLimit)
{
    flood({ "Content-Length: " + std::to_string(FloodBodyBytes * 4),
            std::string(FloodBodyBytes, 'x'), 4, AllAtOnce });
}

TEST_F(FloodTest, EndlessChunksOverTheLimit)
{
    const std::string body = chunked(FloodBodyBytes, 60'000);
    flood({ "Transfer-Encoding: chunked", body.substr(0, body.size() - 5), 4, AllAtOnce });
}

// Guards against copies of a body that together exceed the smallest machine's memory.
TEST_F(FloodTest, LargestBodyAloneIsServed)
{
    start(LargestBodyBytes);
    EXPECT_EQ(askOnce("POST", std::string(LargestBodyBytes, 'x')), 200);
    checkProcess();
}

} // namespace
} // namespace Tarragon
