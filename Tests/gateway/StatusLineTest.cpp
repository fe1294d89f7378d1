#include "GatewayFixture.h"

namespace Tarragon {
namespace {

using StatusLineTest = GatewayTest;

// Guards against a malformed status line that reaches a caller as a success, or that makes a
// request which may have run count as not run.
TEST_F(StatusLineTest, AnInvalidStatusLineIsABadGatewayOrAnotherTarget)
{
    adoptTable();
    const std::string malformed =
            "HTTP/1.1 0200 OK\r\nContent-Length: 3\r\n" + sealed() + "\r\nbad";
    addTarget("t1", answeringAndClosing(malformed));
    EXPECT_EQ(post("/pay/1").status(), 502);
    EXPECT_EQ(m_arrivals.size(), 1u);
    m_arrivals.clear();
    addTarget("t2", answering(answer(200, sealed(), "good")));
    // Requests are distributed over both targets; all of them must end at the second one.
    for (int n = 0; n < 8; ++n) {
        const CallerResult result = get("/read/" + std::to_string(n));
        EXPECT_EQ(result.status(), 200);
        EXPECT_EQ(result.response.has_value() ? result.response->body : "", "good");
    }
}

} // namespace
} // namespace Tarragon
