#include "net/ConnectionCheck.h"

#include "Support/LoopDelay.h"
#include "Support/LoopTest.h"
#include "Support/RawListener.h"

#include <memory>
#include <optional>

namespace Tarragon {
namespace {

class ConnectionCheckTest : public LoopTest
{
protected:
    ConnectionOutcome check(const std::string &address, std::uint16_t port)
    {
        std::optional<ConnectionOutcome> result;
        const ConnectionCheck check(m_loop, address, port, milliseconds(2'000),
                                    [&result](ConnectionOutcome outcome) { result = outcome; });
        runUntil([&result] { return result.has_value(); });
        return *result;
    }
};

// Guards against a lost connection that is taken for the end of its target.
TEST_F(ConnectionCheckTest, TellsWhetherAProcessListens)
{
    std::unique_ptr<RawListener> listener = std::make_unique<RawListener>(m_loop);
    const std::uint16_t port = listener->port();
    EXPECT_EQ(check("127.0.0.1", port), ConnectionOutcome::Accepted);
    listener.reset();
    EXPECT_EQ(check("127.0.0.1", port), ConnectionOutcome::Refused);
    EXPECT_EQ(check("no address", port), ConnectionOutcome::Unknown);
}

// Guards against a listening process that is not recognised because the timeout fires late, before
// the connection is seen.
TEST_F(ConnectionCheckTest, ConnectionMadeDuringDelayCounts)
{
    static constexpr milliseconds Timeout{ 50 };
    const RawListener listener(m_loop);
    LoopDelay delay(m_loop);
    std::optional<ConnectionOutcome> result;
    std::unique_ptr<ConnectionCheck> check;
    delay.delayUntil(m_loop.now() + 4 * Timeout, [&] {
        check = std::make_unique<ConnectionCheck>(
                m_loop, "127.0.0.1", listener.port(), Timeout,
                [&result](ConnectionOutcome outcome) { result = outcome; });
    });
    runUntil([&result] { return result.has_value(); });
    EXPECT_EQ(result, ConnectionOutcome::Accepted);
}

} // namespace
} // namespace Tarragon
