#include "net/RpcConnector.h"

#include "Support/LoopDelay.h"
#include "Support/LoopTest.h"
#include "Support/RawListener.h"
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

// Guards against a connection that is given up although it was made in time, because the timeout
// fires late.
TEST_F(RpcConnectorTest, ConnectionMadeDuringDelayIsUsed)
{
    RpcRuntime runtime(m_loop.base());
    RawListener listener(m_loop);
    LoopDelay delay(m_loop);
    RpcConnectorOptions options;
    options.connectTimeout = milliseconds(50);
    std::unique_ptr<RpcConnector> connector;
    kj::Own<RpcStream> stream;
    Timer begin;
    m_loop.post([&] {
        // Both timers fire in the next iteration, in this order.
        connector = std::make_unique<RpcConnector>(
                m_loop, "127.0.0.1", listener.port(), options, 1,
                [&stream](kj::Own<RpcStream> &it) { stream = kj::mv(it); });
        begin = m_loop.schedule(microseconds(0), [&] {
            delay.delayUntil(m_loop.now() + 4 * options.connectTimeout, [] {});
        });
    });
    runUntil([&] { return stream.get() != nullptr && !listener.sockets().empty(); });
    EXPECT_EQ(listener.sockets().size(), 1u);
}

} // namespace
} // namespace Tarragon
