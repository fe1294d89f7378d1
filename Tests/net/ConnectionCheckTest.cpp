#include "net/ConnectionCheck.h"

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

} // namespace
} // namespace Tarragon
