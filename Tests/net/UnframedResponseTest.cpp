#include "Support/CallRecord.h"
#include "Support/LoopTest.h"
#include "Support/RawListener.h"
#include "net/HttpClient.h"

#include <array>
#include <string>
#include <string_view>

namespace Tarragon {
namespace {

constexpr std::size_t BodyBytes = 60'000;
constexpr std::size_t PartBytes = 30'000;
/// More than the buffers of the sockets hold, so that a peer that does not read leaves the client
/// writing.
constexpr std::size_t UploadBytes = std::size_t(64) << 20U;

std::string responseBody()
{
    return std::string(BodyBytes, 'r');
}

/// How a response states its length.
struct Framing
{
    const char *name;
    const char *field;
};

/// How a server breaks a response off while the request is being sent to it.
struct BreakOff
{
    const char *name;
    std::size_t sentBytes;
    /// Time between the last byte and the end of the connection.
    milliseconds silence;
    /// Whether the server closes regularly, which is a reset because of its unread input.
    bool isClose;
};

std::ostream &operator<<(std::ostream &out, const Framing &value)
{
    return out << value.name;
}

std::ostream &operator<<(std::ostream &out, const BreakOff &value)
{
    return out << value.name;
}

constexpr std::array Framings = {
    Framing{ "Unframed", "" },
    Framing{ "ContentLength", "Content-Length: 60000\r\n" },
    Framing{ "Chunked", "Transfer-Encoding: chunked\r\n" },
};

constexpr std::array BreakOffs = {
    BreakOff{ "AtOnce", PartBytes, milliseconds(0), false },
    BreakOff{ "AfterTheHead", 0, milliseconds(0), false },
    BreakOff{ "AfterASilence", PartBytes, milliseconds(50), false },
    BreakOff{ "AfterTheHeadAndASilence", 0, milliseconds(50), false },
    BreakOff{ "ByACloseWithUnreadInput", PartBytes, milliseconds(0), true },
    BreakOff{ "ByACloseWithUnreadInputAfterASilence", PartBytes, milliseconds(50), true },
};

class UnframedResponseTest : public LoopTest
{
protected:
    void send(const std::string &method, std::size_t bodyBytes)
    {
        HttpRequest request;
        request.address = "127.0.0.1";
        request.port = m_listener.port();
        request.method = method;
        request.acceptUnframed = true;
        request.body.assign(bodyBytes, 'x');
        m_record.call = m_client.send(request, m_record.handlers());
    }
    /// Calls the function with the connection when the first bytes of the request have arrived.
    void onRequest(const sigc::slot<void(RawSocket &)> &function)
    {
        m_listener.accepted().connect([function](RawSocket &socket) {
            const std::shared_ptr<bool> isFirst = std::make_shared<bool>(true);
            socket.dataReceived().connect([function, isFirst, &socket] {
                if (std::exchange(*isFirst, false)) {
                    function(socket);
                }
            });
        });
    }

    RawListener m_listener{ m_loop };
    HttpClient m_client{ m_loop };
    CallRecord m_record;
};

class BrokenOffUploadTest : public UnframedResponseTest,
                            public testing::WithParamInterface<std::tuple<Framing, BreakOff>>
{};

// Guards against a part of a response that looks complete because the reset of the connection was
// noticed while the request was being sent.
TEST_P(BrokenOffUploadTest, IsAFailure)
{
    const Framing framing = std::get<Framing>(GetParam());
    const BreakOff breakOff = std::get<BreakOff>(GetParam());
    Timer timer;
    onRequest([this, framing, breakOff, &timer](RawSocket &socket) {
        socket.stopReading();
        std::string part = responseBody().substr(0, breakOff.sentBytes);
        if (std::string_view(framing.name) == "Chunked" && !part.empty()) {
            part.insert(0, "ea60\r\n"); // BodyBytes in hexadecimal
        }
        socket.send("HTTP/1.1 200 OK\r\n" + std::string(framing.field) + "\r\n" + part);
        socket.allSent().connect([this, breakOff, &timer, &socket] {
            timer = m_loop.schedule(breakOff.silence, [breakOff, &socket] {
                breakOff.isClose ? socket.closeDescriptor() : socket.reset();
            });
        });
    });
    send("POST", UploadBytes);
    runUntil([this] { return m_record.isEnded(); });
    EXPECT_FALSE(m_record.completed);
    ASSERT_TRUE(m_record.failure.has_value());
    EXPECT_TRUE(m_record.failure->anySent);
    EXPECT_FALSE(m_record.failure->timedOut);
}

INSTANTIATE_TEST_SUITE_P(Uploads, BrokenOffUploadTest,
                         testing::Combine(testing::ValuesIn(Framings),
                                          testing::ValuesIn(BreakOffs)),
                         [](const testing::TestParamInfo<std::tuple<Framing, BreakOff>> &it) {
                             return std::string(std::get<Framing>(it.param).name)
                                    + std::get<BreakOff>(it.param).name;
                         });

// Guards against a reset that is lost after the request has been read.
TEST_F(UnframedResponseTest, ResetAfterTheRequestIsAFailure)
{
    onRequest([](RawSocket &socket) {
        socket.send("HTTP/1.1 200 OK\r\n\r\n" + responseBody().substr(0, PartBytes));
        socket.allSent().connect([&socket] { socket.reset(); });
    });
    send("GET", 0);
    runUntil([this] { return m_record.isEnded(); });
    EXPECT_FALSE(m_record.completed);
}

// Guards against whole responses that are taken for truncated: the server ends its stream in order
// and reads the rest of the request.
TEST_F(UnframedResponseTest, OrderlyEndDuringAnUploadCompletesTheResponse)
{
    onRequest([](RawSocket &socket) {
        socket.send("HTTP/1.1 200 OK\r\n\r\n" + responseBody());
        socket.shutdownAfterSending();
    });
    send("POST", UploadBytes);
    runUntil([this] { return m_record.isEnded(); });
    EXPECT_TRUE(m_record.completed);
    EXPECT_EQ(m_record.body.size(), BodyBytes);
}

// Guards against the same for a response that follows its request.
TEST_F(UnframedResponseTest, OrderlyEndCompletesTheResponse)
{
    onRequest([](RawSocket &socket) {
        socket.send("HTTP/1.1 200 OK\r\n\r\n" + responseBody());
        socket.closeAfterSending();
    });
    send("GET", 0);
    runUntil([this] { return m_record.isEnded(); });
    EXPECT_TRUE(m_record.completed);
    EXPECT_EQ(m_record.body.size(), BodyBytes);
}

} // namespace
} // namespace Tarragon
