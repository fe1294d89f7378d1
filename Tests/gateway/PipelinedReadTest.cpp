#include "GatewayFixture.h"

#include <gmock/gmock.h>

namespace Tarragon {
namespace {

using testing::HasSubstr;

std::string read(const std::string &path, const std::string &id)
{
    return "GET /read/" + path + " HTTP/1.1\r\nHost: stand.example\r\nAttempt-Id: " + id
           + "\r\nRequest-Deadline: 800\r\n\r\n";
}

/// A gateway whose targets answer all requests at once, except those for /read/stalled.
class PipelinedReadTest : public GatewayTest
{
protected:
    Script answeringUnlessStalled(const std::string &body)
    {
        return [this, body](RawSocket &socket, const std::string &request) {
            if (request.starts_with("GET /read/stalled")) {
                m_stalled = &socket;
            } else {
                socket.send(answer(200, sealed(idIn(request)), body));
            }
        };
    }
    static std::string idIn(const std::string &request)
    {
        static constexpr std::string_view Name = "Attempt-Id: ";
        const std::size_t start = request.find(Name) + Name.size();
        return request.substr(start, request.find("\r\n", start) - start);
    }

    /// The connection of the target that received the stalled request.
    RawSocket *m_stalled = nullptr;
};

// Guards against a read that waits for the target of the read in front of it, and against responses
// that reach the wrong request because they are ready in another order.
TEST_F(PipelinedReadTest, StalledTargetDelaysOnlyTheDelivery)
{
    adoptTable();
    addTarget("t1", answeringUnlessStalled("second"));
    addTarget("t2", answeringUnlessStalled("second"));
    RawSocket caller(m_loop, m_front->port());
    caller.send(read("stalled", "a1") + read("2", "a2"));
    runUntil([this] { return m_arrivals.size() == 2; });
    EXPECT_EQ(caller.received(), "");
    m_stalled->send(answer(200, sealed("a1"), "first"));
    runUntil([&caller] { return caller.received().ends_with("second"); });
    const std::size_t end = caller.received().find("first");
    ASSERT_NE(end, std::string::npos);
    EXPECT_THAT(caller.received().substr(0, end), HasSubstr("Attempt-Id: a1\r\n"));
    EXPECT_THAT(caller.received().substr(end), HasSubstr("Attempt-Id: a2\r\n"));
    EXPECT_EQ(m_arrivals.size(), 2u);
}

// Guards against a long response that is held without limit, or not resumed, while it waits for the
// response in front of it.
TEST_F(PipelinedReadTest, LongResponseIsPausedUntilItsTurn)
{
    static constexpr std::size_t LongBody = 20'000'000;
    adoptTable();
    addTarget("t1", answeringUnlessStalled(std::string(LongBody, 'x') + "end"));
    RawSocket caller(m_loop, m_front->port());
    caller.send(read("stalled", "a1") + read("2", "a2"));
    runUntil([this] { return m_arrivals.size() == 2; });
    RawSocket *target = nullptr;
    for (const std::unique_ptr<RawSocket> &it : m_listeners[0]->sockets()) {
        target = it.get() == m_stalled ? target : it.get();
    }
    ASSERT_NE(target, nullptr);
    bool isSent = false;
    target->allSent().connect([&isSent] { isSent = true; });
    runFor(milliseconds(50));
    EXPECT_FALSE(isSent);
    m_stalled->send(answer(200, sealed("a1"), "first"));
    runUntil([&caller] { return caller.received().ends_with("end"); });
    EXPECT_GT(caller.received().size(), LongBody);
}

} // namespace
} // namespace Tarragon
