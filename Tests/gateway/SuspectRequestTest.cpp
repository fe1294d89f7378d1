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

// Guards against suspicion of requests whose target lives: a lost answer and a reset connection are
// no evidence.
TEST_F(SuspectRequestTest, LostConnectionsToLivingTargetsRaiseNoSuspicion)
{
    adoptTable();
    for (const char *id : { "t1", "t2", "t3", "t4" }) {
        addTarget(id, resetting(""));
    }
    for (int i = 0; i < 3; ++i) {
        EXPECT_EQ(get("/read/1").status(), 502);
    }
    EXPECT_EQ(m_state->suspects().count(), 0u);
}

// Guards against a request that stays under suspicion although it did no harm, and against others
// that are suspected with it.
TEST_F(SuspectRequestTest, RequestThatATargetCompletesIsCleared)
{
    adoptTable();
    addTargets(1);
    HttpRequest request = callerRequest("GET", "/read/crash/1", "a1");
    EXPECT_EQ(send(request).status(), 502);
    EXPECT_EQ(m_state->suspects().count(), 1u);
    addTarget("whole", answering(answer(200, sealed(), "whole")));
    EXPECT_EQ(get("/read/crash/2").status(), 200);
    EXPECT_EQ(m_state->suspects().count(), 1u);
    EXPECT_EQ(send(request).status(), 200);
    EXPECT_EQ(m_state->suspects().count(), 0u);
}

// Guards against a payment under suspicion that is refused as not run although it may have run.
TEST_F(SuspectRequestTest, RefusalOfASuspectStatesTheTruth)
{
    adoptTable();
    addTargets(8);
    for (int i = 0; i < 6; ++i) {
        m_arrivals.clear();
        const int status = post("/pay/crash/1").status();
        EXPECT_EQ(status, m_arrivals.empty() ? 503 : 502);
    }
    EXPECT_LE(endedTargets(), 3u);
}

} // namespace
} // namespace Tarragon
