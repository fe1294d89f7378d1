// Measures the processor time of exchanging heartbeats and of fetching the head of a document from
// a peer. Client and server run in one thread, so that each accounts for half of the time of a
// round trip. heartbeatBytes is the size of a serialized heartbeat, headBytes that of the head's
// text.

#include "document/Head.h"
#include "net/RpcRuntime.h"
#include "peer/PeerClient.h"
#include "peer/PeerServer.h"
#include "peer/SlotCodec.h"

#include <benchmark/benchmark.h>
#include <capnp/serialize.h>

#include <memory>
#include <string>
#include <vector>

namespace Tarragon {
namespace {

constexpr microseconds CallTimeout{ 5'000'000 };

void fillHeartbeat(PeerRpc::Heartbeat::Builder heartbeat)
{
    heartbeat.initSender().setInstance("kin-gr-attica-a-1");
    heartbeat.getSender().setIncarnation(0x4b1f0c2a90ad11c3ULL);
    heartbeat.setFailureDomain("gr-attica-a");
    heartbeat.setState(PeerRpc::InstanceState::SERVING);
    heartbeat.setGeneration(123'456);
    heartbeat.setPlanVersion(7'890);
    heartbeat.setStoreReachable(true);
    ShareReport report;
    report.sequence = 1'000'000;
    report.adopted = Generation(123'456);
    report.settled = Generation(123'456);
    report.closed = Generation(123'456);
    report.echoedIncarnation = Incarnation(0x90ad11c34b1f0c2aULL);
    report.echoedSequence = 999'999;
    writeShareReport(heartbeat.initShares(), report);
}

std::string headOf(int sections)
{
    Head head;
    head.generation = Generation(100);
    for (int i = 0; i < sections; ++i) {
        SectionReference reference;
        reference.digest = std::string(64, 'a');
        reference.version = SectionVersion(static_cast<std::uint64_t>(i));
        head.sections[SectionName("services.service-" + std::to_string(i))] = reference;
    }
    for (std::size_t i = 0; i < Head::MaxRecentAcceptances; ++i) {
        Acceptance acceptance;
        acceptance.generation = Generation(100 - i);
        acceptance.team = TeamId("team");
        acceptance.proposalId = std::string(32, 'b');
        acceptance.sections[SectionName("services.service-0")] =
                SectionReference{ std::string(64, 'c'), SectionVersion(i) };
        head.recent.push_back(acceptance);
    }
    return serializeHead(head);
}

/// Runs a server and the clients connected to it on one event loop.
class Exchange
{
public:
    Exchange(std::size_t clients, std::string head)
        : m_runtime(m_loop.base())
        , m_head(std::move(head))
    {
        PeerHandlers handlers;
        handlers.heartbeat = [](PeerRpc::Heartbeat::Reader, PeerRpc::Heartbeat::Builder theirs) {
            fillHeartbeat(theirs);
        };
        handlers.fetchHead = [this](PeerRpc::Peer::FetchHeadParams::Reader,
                                    PeerRpc::Peer::FetchHeadResults::Builder results) {
            results.setGeneration(100);
            results.setHead(m_head);
        };
        m_server = std::make_unique<PeerServer>(m_loop, "127.0.0.1", 0, handlers);
        for (std::size_t i = 0; i < clients; ++i) {
            m_clients.push_back(
                    std::make_unique<PeerClient>(m_loop, "127.0.0.1", m_server->port(), i));
            m_clients.back()->connected().connect([this] { m_runtime.stop(); });
            m_runtime.run();
        }
    }
    ~Exchange() noexcept = default;
    Exchange(const Exchange &) = delete;
    Exchange &operator=(const Exchange &) = delete;

    void heartbeatToAll()
    {
        m_open = m_clients.size();
        for (const std::unique_ptr<PeerClient> &it : m_clients) {
            it->call(
                    &PeerRpc::Peer::Client::heartbeatRequest, CallTimeout,
                    [](PeerRpc::Peer::HeartbeatParams::Builder params) {
                        fillHeartbeat(params.initMine());
                    },
                    [this](PeerOutcome outcome, const PeerRpc::Peer::HeartbeatResults::Reader *) {
                        finishOne(outcome);
                    });
        }
        m_runtime.run();
    }

    void fetchHead()
    {
        m_open = 1;
        m_clients.front()->call(
                &PeerRpc::Peer::Client::fetchHeadRequest, CallTimeout,
                [](PeerRpc::Peer::FetchHeadParams::Builder) {},
                [this](PeerOutcome outcome,
                       const PeerRpc::Peer::FetchHeadResults::Reader *results) {
                    if (results != nullptr) {
                        m_bytes = results->getHead().size();
                    }
                    finishOne(outcome);
                });
        m_runtime.run();
    }

    std::size_t failures() const { return m_failures; }
    std::size_t bytes() const { return m_bytes; }

private:
    void finishOne(PeerOutcome outcome)
    {
        m_failures += outcome == PeerOutcome::Done ? 0 : 1;
        if (--m_open == 0) {
            m_runtime.stop();
        }
    }

    EventLoop m_loop;
    RpcRuntime m_runtime;
    std::string m_head;
    std::unique_ptr<PeerServer> m_server;
    std::vector<std::unique_ptr<PeerClient>> m_clients;
    std::size_t m_open = 0;
    std::size_t m_failures = 0;
    std::size_t m_bytes = 0;
};

/// Exchanges one heartbeat and its reply with each peer. Argument: number of peers.
void heartbeats(benchmark::State &state)
{
    const std::size_t peers = static_cast<std::size_t>(state.range(0));
    Exchange exchange(peers, "");
    for (auto _ : state) {
        exchange.heartbeatToAll();
    }
    if (exchange.failures() != 0) {
        state.SkipWithError("a heartbeat failed");
    }
    capnp::MallocMessageBuilder message;
    fillHeartbeat(message.initRoot<PeerRpc::Heartbeat>());
    state.counters["heartbeatBytes"] =
            static_cast<double>(capnp::computeSerializedSizeInWords(message) * sizeof(capnp::word));
    state.counters["timePerEnd"] = benchmark::Counter(static_cast<double>(2 * peers),
                                                      benchmark::Counter::kIsIterationInvariantRate
                                                              | benchmark::Counter::kInvert);
}
BENCHMARK(heartbeats)->Arg(1)->Arg(4)->Arg(8)->Arg(16)->Arg(23)->Arg(46);

/// Fetches a head. Argument: number of its sections.
void heads(benchmark::State &state)
{
    Exchange exchange(1, headOf(static_cast<int>(state.range(0))));
    for (auto _ : state) {
        exchange.fetchHead();
    }
    if (exchange.failures() != 0) {
        state.SkipWithError("a fetch failed");
    }
    state.counters["headBytes"] = static_cast<double>(exchange.bytes());
}
BENCHMARK(heads)->Arg(8)->Arg(16)->Arg(32)->Arg(64);

} // namespace
} // namespace Tarragon

BENCHMARK_MAIN();
