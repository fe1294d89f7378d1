#include "net/RpcConnector.h"

#include "Support/LoopTest.h"
#include "net/RpcListener.h"
#include "net/RpcRuntime.h"

#include <stdexcept>

namespace Tarragon {
namespace {

class RpcConnectorTest : public LoopTest
{};

// Guards against an entry that never connects to another one again, because the set-up of one
// connection failed.
TEST_F(RpcConnectorTest, ConnectsAgainAfterItsHandlerHasThrown)
{
    RpcRuntime runtime(m_loop.base());
    RpcListener listener(m_loop, "127.0.0.1", 0, [](kj::Own<RpcStream> &) {});
    int streams = 0;
    RpcConnector connector(m_loop, "127.0.0.1", listener.port(), RpcConnectorOptions{}, 1,
                           [&streams](kj::Own<RpcStream> &stream) {
                               const kj::Own<RpcStream> own = kj::mv(stream);
                               if (++streams == 1) {
                                   throw std::runtime_error("session not created");
                               }
                           });
    runUntil([&streams] { return streams == 2; });
    EXPECT_EQ(streams, 2);
}

} // namespace
} // namespace Tarragon
