#include "Support/CallRecord.h"
#include "Support/FirstSeed.h"
#include "Support/LoopTest.h"
#include "Support/RawListener.h"
#include "net/ChunkedDecoder.h"
#include "net/HttpClient.h"
#include "net/ResponseHeadScanner.h"

#include <event2/buffer.h>

#include <algorithm>
#include <optional>
#include <random>
#include <sstream>
#include <vector>

namespace Tarragon {
namespace {

const std::vector<std::string> MalformedLines = {
    "HTTP/1.1 +200 OK", "HTTP/1.1 0200 OK", "HTTP/1.1 4294967496 OK",
    "HTTP/0.9 200 OK",  "HTTP/1.1 000 OK",  "HTTP/1.1 099 OK",
    "HTTP/1.1 600 OK",  "HTTP/1.1 2000 OK", "HTTP/1.1 -20 OK",
    "HTTP/1.1 2x0 OK",  "HTTP/1.1  OK",     "HTTP/1.1",
    "HTTP/1.2 200 OK",  "HTTP/1.10 200 OK", "http/1.1 200 OK",
    "HTTP/1.1\t200 OK", "HTTP/1.1 200\tOK", "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 +200 OK",
};

class StatusLineTest : public LoopTest
{
protected:
    /// Sends a request to a server that answers with these bytes.
    void call(const std::string &bytes, CallRecord &record)
    {
        RawListener listener(m_loop);
        listener.accepted().connect([&bytes](RawSocket &socket) {
            socket.dataReceived().connect([&bytes, &socket] { socket.send(bytes); });
        });
        HttpRequest request;
        request.address = "127.0.0.1";
        request.port = listener.port();
        record.call = m_client.send(request, record.handlers());
        runUntil([&record] { return record.isEnded(); });
    }

    HttpClient m_client{ m_loop };
};

// Guards against a target whose malformed status line reaches a caller as a success.
TEST_F(StatusLineTest, MalformedStatusLinesAreFailuresBeforeTheHead)
{
    for (const std::string &line : MalformedLines) {
        SCOPED_TRACE(line);
        CallRecord record;
        call(line + "\r\nContent-Length: 2\r\n\r\nab", record);
        EXPECT_FALSE(record.completed);
        EXPECT_TRUE(record.failure.has_value());
        if (record.failure.has_value()) {
            EXPECT_EQ(record.failure->stage, HttpStage::AwaitHeaders) << record.failure->reason;
        }
    }
}

// Guards against a check that refuses valid responses.
TEST_F(StatusLineTest, ValidStatusLinesAreAccepted)
{
    for (const std::string line : { "HTTP/1.1 200 OK", "HTTP/1.0 200", "HTTP/1.1 599 ",
                                    "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK",
                                    "HTTP/1.1 103 Early\r\nLink: x\r\n\r\nHTTP/1.1 204 Empty" }) {
        SCOPED_TRACE(line);
        CallRecord record;
        call(line + "\r\nContent-Length: 0\r\n\r\n", record);
        EXPECT_TRUE(record.completed);
    }
}

/// Passes the text to the function in pieces of random length.
template<typename Function>
void inPieces(const std::string &text, std::mt19937_64 &random, const Function &function)
{
    for (std::size_t at = 0; at < text.size();) {
        const std::size_t longest = random() % 4 == 0 ? text.size() : 7;
        const std::size_t n = std::min(1 + random() % longest, text.size() - at);
        function(std::string_view(text).substr(at, n));
        at += n;
    }
}

/// Returns the status of a valid status line; nothing for others. Written independently of the
/// scanner.
std::optional<int> statusOf(const std::string &line)
{
    const bool isVersion = line.starts_with("HTTP/1.0 ") || line.starts_with("HTTP/1.1 ");
    if (!isVersion || line.size() < 12 || (line.size() > 12 && line[12] != ' ')) {
        return std::nullopt;
    }
    const std::string code = line.substr(9, 3);
    const bool isValid = code.find_first_not_of("0123456789") == std::string::npos && code >= "100"
                         && code <= "599";
    return isValid ? std::optional<int>(std::stoi(code)) : std::nullopt;
}

// Guards against a result that depends on how the bytes of a head are split, and against a status
// line that the scanner and the rule of HTTP read differently.
TEST(ResponseHeadScannerTest, ResultsDoNotDependOnSplits)
{
    static constexpr int Cases = 20'000;
    static constexpr std::string_view Characters = "HTTP/1.0129 +-x\t5";
    std::mt19937_64 random(firstSeed());
    for (int n = 0; n < Cases; ++n) {
        std::string line = "HTTP/1.1 " + std::to_string(90 + random() % 600) + " OK";
        for (std::uint64_t changes = random() % 3; changes > 0; --changes) {
            line[random() % line.size()] = Characters[random() % Characters.size()];
        }
        ResponseHeadScanner scanner;
        inPieces(line + "\r\nA: b\r\n\r\n", random,
                 [&scanner](std::string_view piece) { scanner.read(piece); });
        const std::optional<int> expected = statusOf(line);
        ASSERT_EQ(scanner.isMalformed(), !expected.has_value()) << line << " case " << n;
        if (expected.has_value()) {
            ASSERT_EQ(scanner.status(), *expected) << line;
            ASSERT_EQ(scanner.isDone(), *expected >= 200) << line;
        }
    }
}

// Guards against a body that depends on how its chunks are cut or arrive.
TEST(ResponseHeadScannerTest, ChunkedBodiesDoNotDependOnSplits)
{
    static constexpr int Cases = 2'000;
    std::mt19937_64 random(firstSeed());
    for (int n = 0; n < Cases; ++n) {
        std::string body;
        std::ostringstream encoded;
        for (std::uint64_t chunks = random() % 6; chunks > 0; --chunks) {
            const std::string chunk(1 + random() % 300, char('a' + random() % 26));
            encoded << std::hex << chunk.size() << (random() % 4 == 0 ? ";x=y" : "") << "\r\n"
                    << chunk << "\r\n";
            body += chunk;
        }
        encoded << "0\r\n" << (random() % 4 == 0 ? "A: b\r\n" : "") << "\r\n";
        evbuffer *buffer = evbuffer_new();
        std::string decoded;
        ChunkedDecoder decoder;
        ChunkedDecoder::Result result = ChunkedDecoder::Result::NeedMore;
        inPieces(encoded.str(), random, [&](std::string_view piece) {
            evbuffer_add(buffer, piece.data(), piece.size());
            result = decoder.decode(buffer, [&decoded](std::string_view data) {
                decoded += data;
                return true;
            });
        });
        evbuffer_free(buffer);
        ASSERT_EQ(result, ChunkedDecoder::Result::Done) << encoded.str();
        ASSERT_EQ(decoded, body);
    }
}

} // namespace
} // namespace Tarragon
