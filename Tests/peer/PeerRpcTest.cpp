#include "Support/RawListener.h"
#include "base/Error.h"
#include "net/RpcRuntime.h"
#include "net/SocketAddress.h"
#include "peer/PeerClient.h"
#include "peer/PeerServer.h"
#include "peer/RegistryCodec.h"

#include <gtest/gtest.h>
#include <sys/socket.h>

#include <array>
#include <functional>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <vector>

namespace Tarragon {
namespace {

constexpr microseconds CallTimeout{ 5'000'000 };
/// Timeout of calls during which the loop is held up.
constexpr milliseconds ShortTimeout{ 50 };
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
        handlers.heartbeat = [this](PeerRpc::Heartbeat::Reader mine,
                                    PeerRpc::Heartbeat::Builder theirs) {
            theirs.setGeneration(mine.getGeneration() + 1);
            if (m_holdUp) {
                m_holdUp();
            }
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

    /// Blocks the loop for the time as soon as the reply to a heartbeat has been written.
    void holdUpAfterReply(microseconds time)
    {
        kj::evalLast([this, time] {
            const MonotonicTime end = m_loop.now() + time;
            while (m_loop.now() < end) {
            }
        }).detach([](kj::Exception &&) {});
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
    /// Called for every heartbeat that the server receives.
    std::function<void()> m_holdUp;
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

// Guards against calls that fail although their replies have arrived in time, because the process
// was held up and their timeouts run before the replies are processed. Two of them would close the
// connection.
TEST_F(PeerRpcTest, RepliesThatArrivedBeforeALateTimeoutCount)
{
    serve();
    connect();
    int connections = 0;
    m_client->connected().connect([&connections] { ++connections; });
    ASSERT_EQ(heartbeat(1).first, PeerOutcome::Done);
    m_holdUp = [this] { holdUpAfterReply(2 * ShortTimeout); };
    for (std::uint64_t i = 1; i <= 4; ++i) {
        EXPECT_EQ(heartbeat(i, ShortTimeout), std::pair(PeerOutcome::Done, i + 1));
    }
    std::vector<PeerOutcome> outcomes;
    for (int i = 0; i < PeerClient::MaxTimeouts; ++i) {
        m_client->call(
                &PeerRpc::Peer::Client::heartbeatRequest, ShortTimeout,
                [](PeerRpc::Peer::HeartbeatParams::Builder) {},
                [&](PeerOutcome outcome, const PeerRpc::Peer::HeartbeatResults::Reader *) {
                    outcomes.push_back(outcome);
                });
    }
    EXPECT_EQ(heartbeat(1).first, PeerOutcome::Done);
    EXPECT_EQ(outcomes, std::vector<PeerOutcome>(PeerClient::MaxTimeouts, PeerOutcome::Done));
    m_holdUp = nullptr;
    EXPECT_EQ(heartbeat(1).first, PeerOutcome::Done);
    EXPECT_EQ(connections, 0);
}

// Guards against the same if so much has arrived meanwhile that the reply is not among what the
// loop reads first.
TEST_F(PeerRpcTest, RepliesBehindOtherInputBeforeALateTimeoutCount)
{
    static constexpr std::size_t OtherInputs = 100;
    serve();
    connect();
    ASSERT_EQ(heartbeat(1).first, PeerOutcome::Done);
    std::vector<kj::Own<RpcStream>> streams;
    std::vector<kj::Promise<std::size_t>> reads;
    std::vector<std::array<char, 1>> bytes(OtherInputs);
    std::size_t received = 0;
    for (std::size_t i = 0; i < OtherInputs; ++i) {
        int sockets[2];
        ASSERT_EQ(::socketpair(AF_UNIX, SOCK_STREAM | SOCK_NONBLOCK, 0, sockets), 0);
        for (const int it : sockets) {
            streams.push_back(kj::heap<RpcStream>(m_loop.base(), it));
        }
        reads.push_back(streams[2 * i + 1]
                                ->tryRead(bytes[i].data(), 1, 1)
                                .then([&received](std::size_t n) {
                                    received += n;
                                    return n;
                                })
                                .eagerlyEvaluate(nullptr));
    }
    m_holdUp = [&] {
        for (std::size_t i = 0; i < OtherInputs; ++i) {
            // Completes at once; a handler must not wait.
            const kj::Promise<void> written = streams[2 * i]->write("x", 1);
        }
        holdUpAfterReply(2 * ShortTimeout);
    };
    EXPECT_EQ(heartbeat(1, ShortTimeout), std::pair(PeerOutcome::Done, std::uint64_t{ 2 }));
    EXPECT_EQ(received, OtherInputs);
}

// Guards against a call without a reply that does not time out because the peer sends other bytes.
TEST_F(PeerRpcTest, APeerThatSendsBytesWithoutEndTimesOut)
{
    RawListener listener(m_loop);
    m_port = listener.port();
    connect();
    std::size_t sent = 0;
    // An incomplete message: its head announces more words than the test sends.
    std::string bytes("\0\0\0\0\xff\xff\x07\0", 8);
    const Timer send = m_loop.scheduleEvery(milliseconds(1), [&] {
        if (!listener.sockets().empty() && sent < 2'000'000) {
            listener.sockets().front()->send(bytes);
            sent += bytes.size();
            bytes.assign(8'000, '\0');
        }
    });
    const MonotonicTime start = m_loop.now();
    EXPECT_EQ(heartbeat(1, ShortTimeout).first, PeerOutcome::Unknown);
    EXPECT_LT(m_loop.now() - start, seconds(5));
    EXPECT_GT(sent, 0u);
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
