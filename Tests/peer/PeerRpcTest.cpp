#include "Support/RawListener.h"
#include "base/Error.h"
#include "net/RpcRuntime.h"
#include "net/SocketAddress.h"
#include "peer/PeerClient.h"
#include "peer/PeerServer.h"
#include "peer/RegistryCodec.h"

#include <gtest/gtest.h>

#include <memory>
#include <optional>
#include <random>
#include <string>

namespace Tarragon {
namespace {

constexpr microseconds CallTimeout{ 5'000'000 };
/// Time after which a test that is still waiting for its sockets fails.
constexpr microseconds WatchdogTime{ 20'000'000 };

class PeerRpcTest : public testing::Test
{
protected:
    PeerRpcTest()
        : m_runtime(m_loop.base())
    {
        m_watchdog = m_loop.schedule(WatchdogTime, [this] {
            ADD_FAILURE() << "the test did not finish within " << WatchdogTime.count() / 1'000'000
                          << " s";
            m_runtime.stop();
        });
    }
    ~PeerRpcTest() noexcept override = default;

    void serve(std::uint16_t port = 0)
    {
        PeerHandlers handlers;
        handlers.heartbeat = [](PeerRpc::Heartbeat::Reader mine,
                                PeerRpc::Heartbeat::Builder theirs) {
            theirs.setGeneration(mine.getGeneration() + 1);
        };
        handlers.fetchPlan = [](PeerRpc::Peer::FetchPlanParams::Reader,
                                PeerRpc::Peer::FetchPlanResults::Builder) {
            throw Error("no plan");
        };
        handlers.registry = [](capnp::List<PeerRpc::RegistryMessage>::Reader messages) {
            for (const PeerRpc::RegistryMessage::Reader it : messages) {
                static_cast<void>(readRegistryPayload(it));
            }
        };
        m_server = std::make_unique<PeerServer>(m_loop, "127.0.0.1", port, handlers);
        m_port = m_server->port();
    }

    void connect()
    {
        m_client = std::make_unique<PeerClient>(m_loop, "127.0.0.1", m_port, 1);
        awaitConnection();
    }

    void awaitConnection()
    {
        const sigc::connection connection =
                m_client->connected().connect([this] { m_runtime.stop(); });
        m_runtime.run();
        sigc::connection(connection).disconnect();
    }

    /// Sends a heartbeat. Returns its outcome and the generation in the reply, or 0 without a
    /// reply.
    std::pair<PeerOutcome, std::uint64_t> heartbeat(std::uint64_t generation,
                                                    microseconds timeout = CallTimeout)
    {
        std::pair<PeerOutcome, std::uint64_t> result{ PeerOutcome::NotSent, 0 };
        m_client->call(
                &PeerRpc::Peer::Client::heartbeatRequest, timeout,
                [generation](PeerRpc::Peer::HeartbeatParams::Builder params) {
                    params.initMine().setGeneration(generation);
                },
                [&](PeerOutcome outcome, const PeerRpc::Peer::HeartbeatResults::Reader *results) {
                    result.first = outcome;
                    if (results != nullptr)
                        result.second = results->getTheirs().getGeneration();
                    m_runtime.stop();
                });
        m_runtime.run();
        return result;
    }

    /// Returns the bytes that a client sends on a new connection to make a call.
    std::string recordedCall()
    {
        RawListener listener(m_loop);
        PeerClient client(m_loop, "127.0.0.1", listener.port(), 1);
        client.connected().connect([this] { m_runtime.stop(); });
        m_runtime.run();
        client.call(
                &PeerRpc::Peer::Client::registryRequest, CallTimeout,
                [](PeerRpc::Peer::RegistryParams::Builder params) {
                    const ClaimKey key{ InstanceId("e3"), Incarnation(77), 5 };
                    capnp::List<PeerRpc::RegistryMessage>::Builder messages =
                            params.initMessages(2);
                    writeRegistryPayload(messages[0], ClaimRequest{ RequestId("a"), key, 2, true });
                    writeRegistryPayload(messages[1],
                                         OutcomeReport{ RequestId("a"), key, Verdict::Ran,
                                                        FinishedResponse{ 201, {}, "body" } });
                },
                [](PeerOutcome, const PeerRpc::Peer::RegistryResults::Reader *) {});
        const Timer look = m_loop.scheduleEvery(milliseconds(1), [this, &listener] {
            if (!listener.sockets().empty()
                && listener.sockets().front()->received().find("body") != std::string::npos) {
                m_runtime.stop();
            }
        });
        m_runtime.run();
        return listener.sockets().front()->received();
    }

    /// Sends the bytes on a new connection and waits until the server has closed it.
    void sendAndAwaitEnd(const std::string &bytes)
    {
        kj::Own<RpcStream> stream;
        const RpcConnector connector(m_loop, "127.0.0.1", m_port, {}, 1,
                                     [&](kj::Own<RpcStream> &made) {
                                         stream = kj::mv(made);
                                         m_runtime.stop();
                                     });
        m_runtime.run();
        std::string answer(65'536, '\0');
        // The server may send an abort message first, and may reset the connection.
        kj::runCatchingExceptions([&] {
            stream->write(bytes.data(), bytes.size()).wait(m_runtime.waitScope());
            stream->shutdownWrite();
            while (stream->tryRead(answer.data(), 1, answer.size()).wait(m_runtime.waitScope())
                   > 0) {
            }
        });
    }

    EventLoop m_loop;
    RpcRuntime m_runtime;
    Timer m_watchdog;
    std::unique_ptr<PeerServer> m_server;
    std::unique_ptr<PeerClient> m_client;
    std::uint16_t m_port = 0;
};

TEST_F(PeerRpcTest, AnswersACall)
{
    serve();
    connect();
    EXPECT_EQ(heartbeat(7), std::pair(PeerOutcome::Done, std::uint64_t{ 8 }));
}

// After NotSent the caller may send a booking to another entry, so nothing of the call may have
// been sent.
TEST_F(PeerRpcTest, ReportsNotSentWithoutAConnection)
{
    serve();
    m_client = std::make_unique<PeerClient>(m_loop, "127.0.0.1", m_port, 1);
    EXPECT_EQ(heartbeat(7).first, PeerOutcome::NotSent);
}

TEST_F(PeerRpcTest, AThrowingHandlerFailsItsCallOnly)
{
    serve();
    connect();
    std::optional<PeerOutcome> outcome;
    m_client->call(
            &PeerRpc::Peer::Client::fetchPlanRequest, CallTimeout,
            [](PeerRpc::Peer::FetchPlanParams::Builder) {},
            [&](PeerOutcome result, const PeerRpc::Peer::FetchPlanResults::Reader *) {
                outcome = result;
                m_runtime.stop();
            });
    m_runtime.run();
    EXPECT_EQ(outcome, PeerOutcome::Unknown);
    EXPECT_EQ(heartbeat(1).first, PeerOutcome::Done);
}

TEST_F(PeerRpcTest, ReconnectsToARestartedPeer)
{
    serve();
    connect();
    ASSERT_EQ(heartbeat(1).first, PeerOutcome::Done);
    const std::uint16_t port = m_port;
    m_server.reset();
    serve(port);
    awaitConnection();
    EXPECT_EQ(heartbeat(2).first, PeerOutcome::Done);
}

// Guards against a peer that sends invalid bytes and disturbs the calls of other peers.
TEST_F(PeerRpcTest, GarbageCostsItsSenderTheConnectionOnly)
{
    serve();
    connect();
    const std::string garbage(4096, '\xff');
    sendAndAwaitEnd(garbage);
    EXPECT_EQ(heartbeat(3).first, PeerOutcome::Done);
    EXPECT_EQ(m_server->connections(), 1U);
}

// Guards against a peer that announces messages beyond the limits and sends bytes without end,
// which the server would collect.
TEST_F(PeerRpcTest, MessagesWithoutEndCostTheirSenderTheConnectionOnly)
{
    static constexpr std::size_t FloodBytes = 24'000'000;
    serve();
    connect();
    // The head of a message: the number of segments less one, and the words of the first segment.
    for (const std::string &head : { std::string("\0\0\0\0\xff\xff\xff\x7f", 8),
                                     std::string("\xff\x01\0\0\xff\xff\xff\x7f", 8),
                                     std::string("\xff\xff\xff\x7f\0\0\0\0", 8) }) {
        sendAndAwaitEnd(head + std::string(FloodBytes, '\0'));
    }
    EXPECT_EQ(heartbeat(3).first, PeerOutcome::Done);
    EXPECT_EQ(m_server->connections(), 1U);
}

// Guards against a malformed message that ends the server's process.
TEST_F(PeerRpcTest, MutatedCallsCostTheirSendersTheConnectionOnly)
{
    static constexpr int Mutations = 400;
    serve();
    const std::string call = recordedCall();
    connect();
    std::mt19937 random(20261204);
    const auto below = [&random](std::size_t n) { return random() % n; };
    for (int i = 0; i < Mutations; ++i) {
        std::string bytes = call;
        for (std::size_t n = 1 + below(6); n > 0; --n) {
            bytes[below(bytes.size())] = static_cast<char>(below(256));
        }
        if (below(3) == 0) {
            bytes.resize(below(bytes.size()));
        }
        if (below(4) == 0) {
            bytes += call.substr(below(call.size()));
        }
        sendAndAwaitEnd(bytes);
    }
    EXPECT_EQ(heartbeat(3).first, PeerOutcome::Done);
    EXPECT_EQ(m_server->connections(), 1U);
}

} // namespace
} // namespace Tarragon
