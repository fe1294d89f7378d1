#include "GatewayFixture.h"

#include <algorithm>

namespace Tarragon {
namespace {

class SuspectRequestTest : public GatewayTest
{
protected:
    /// Adds targets that end when they are sent a request whose path contains "/crash".
    void addTargets(int count)
    {
        for (int i = 0; i < count; ++i) {
            const std::size_t index = m_listeners.size();
            addTarget("t" + std::to_string(index),
                      [this, index](RawSocket &socket, const std::string &request) {
                          if (request.find("/crash") != std::string::npos) {
                              m_loop.post([this, index] { m_listeners[index].reset(); });
                          } else {
                              socket.send(answer(200, sealed(), "whole"));
                          }
                      });
        }
    }
    std::size_t endedTargets() const
    {
        return static_cast<std::size_t>(
                std::count(m_listeners.begin(), m_listeners.end(), nullptr));
    }
};

// Guards against a request that ends one target after the other because it is sent again and again.
TEST_F(SuspectRequestTest, RequestThatEndsTargetsIsNotSentAgainAfterThreeOfThem)
{
    adoptTable();
    addTargets(20);
    for (int i = 0; i < 9; ++i) {
        const int status = get("/read/crash/1").status();
        EXPECT_TRUE(status == 502 || status == 503) << status;
    }
    EXPECT_LE(endedTargets(), 3u);
    m_arrivals.clear();
    const CallerResult refused = get("/read/crash/1");
    EXPECT_EQ(refused.status(), 503);
    EXPECT_NE(refused.header("Retry-After"), "");
    EXPECT_EQ(m_arrivals.size(), 0u);
    EXPECT_EQ(get("/read/other/1").status(), 200);
}

} // namespace
} // namespace Tarragon
