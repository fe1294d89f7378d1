// Measures the latency that an entry adds to a request, compared with a direct connection to the
// same target. Direct and forwarded rounds alternate within one run and use half of the target's
// slots. Caller, entry and target share one thread, so that the added latency includes the
// processor time of all three. Exits with 1 if the added median latency is not below
// TargetMilliseconds or if a request failed.

#include "StandIns/target/TargetServer.h"
#include "entry/RequestProxy.h"

#include <event2/event.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <iostream>
#include <memory>
#include <string>
#include <vector>

namespace Tarragon {
namespace {

constexpr double TargetMilliseconds = 1;
constexpr int Slots = 6;
constexpr std::size_t Concurrency = 3;
constexpr std::size_t RequestsPerRound = 300;
constexpr int Rounds = 10;
constexpr milliseconds ServiceTime{ 5 };

double median(std::vector<double> values)
{
    std::sort(values.begin(), values.end());
    return values[values.size() / 2];
}

/// Runs the only entry of a failure domain, one target, and a caller that sends requests to either.
class Bench
{
public:
    Bench()
    {
        m_settings.instance = InstanceId("e1");
        m_settings.domain = FailureDomainId("d1");
        m_settings.region = RegionId("r1");
        TargetBehaviour behaviour;
        behaviour.slots = Slots;
        behaviour.serviceTime = ServiceTime;
        m_target =
                std::make_unique<TargetServer>(m_loop, m_journal, "t1", "127.0.0.1", 0, behaviour);
        const MonotonicTime started = m_loop.now() - seconds(60);
        m_state = std::make_unique<ServingState>(m_settings, Incarnation(1), started);
        m_state->adopt(configuration(), started);
        // Simulates 60 s since the start of the entry. A new entry uses no slots while grants of
        // its previous incarnation may still be in use.
        for (MonotonicTime now = started; now < m_loop.now(); now += milliseconds(50)) {
            static_cast<void>(m_state->ledger().requestsToSend(now));
        }
        m_state->setEntryStates({ { InstanceId("e1"), EntryState::Live } });
        m_context = std::make_unique<ProxyContext>(ProxyContext{
                m_loop, m_client, m_settings, *m_state, m_metrics, m_drain, {}, {}, {} });
        m_proxy = std::make_unique<RequestProxy>(*m_context);
        m_server = std::make_unique<HttpServer>(
                m_loop, "127.0.0.1", 0, HttpServerLimits{},
                [this](const HttpExchangePtr &exchange) { m_proxy->handle(exchange); });
    }

    /// Runs one round, directly or through the entry, and returns the latencies in milliseconds.
    std::vector<double> run(bool isDirect)
    {
        m_isDirect = isDirect;
        m_latencies.clear();
        m_begun = 0;
        m_calls.clear();
        m_calls.resize(Concurrency);
        for (std::size_t i = 0; i < Concurrency; ++i) {
            begin(i);
        }
        while (m_latencies.size() + m_failures < RequestsPerRound) {
            event_base_loop(m_loop.base(), EVLOOP_ONCE);
            // The daemon calls the ledger regularly. Without these calls the ledger would treat the
            // elapsed time as a pause of the process.
            static_cast<void>(m_state->ledger().requestsToSend(m_loop.now()));
        }
        return m_latencies;
    }

    std::size_t failures() const { return m_failures; }

private:
    ConfigurationPtr configuration() const
    {
        Configuration configuration;
        configuration.generation = Generation(1);
        const FailureDomainId domain("d1");
        configuration.topology.regions[RegionId("r1")] = Region{ RegionId("r1"), { domain } };
        configuration.topology.domains[domain] =
                FailureDomain{ domain,
                               RegionId("r1"),
                               { EntrySeat{ InstanceId("e1"), 0, Endpoint{ "127.0.0.1", 1 },
                                            Endpoint{ "127.0.0.1", 2 } } } };
        configuration.topology.defaultRegion = RegionId("r1");
        ServiceConfiguration service;
        service.id = ServiceId("catalog");
        service.targets = { Target{ TargetId("t1"), domain,
                                    Endpoint{ "127.0.0.1", m_target->port() },
                                    SlotCount{ Slots } } };
        configuration.services[service.id] = service;
        return std::make_shared<const Configuration>(std::move(configuration));
    }

    void begin(std::size_t caller)
    {
        if (m_begun == RequestsPerRound) {
            return;
        }
        ++m_begun;
        HttpRequest request;
        request.address = "127.0.0.1";
        request.port = m_isDirect ? m_target->port() : m_server->port();
        request.uri = m_isDirect ? "/parts" : "/s/catalog/parts";
        const MonotonicTime started = m_loop.now();
        m_calls[caller] = m_client.fetch(
                request, ByteCount{ 100'000 },
                [this, caller, started](const HttpResponse &response) {
                    if (response.head.status == 200) {
                        m_latencies.push_back(
                                std::chrono::duration<double, std::milli>(m_loop.now() - started)
                                        .count());
                    } else {
                        ++m_failures;
                    }
                    m_loop.post([this, caller] { begin(caller); });
                },
                [this, caller](const HttpFailure &) {
                    ++m_failures;
                    m_loop.post([this, caller] { begin(caller); });
                });
    }

    EventLoop m_loop;
    Settings m_settings;
    Metrics m_metrics;
    HttpClient m_client{ m_loop };
    DrainState m_drain;
    Journal m_journal{ "" };
    std::unique_ptr<TargetServer> m_target;
    std::unique_ptr<ServingState> m_state;
    std::unique_ptr<ProxyContext> m_context;
    std::unique_ptr<RequestProxy> m_proxy;
    std::unique_ptr<HttpServer> m_server;
    bool m_isDirect = false;
    std::size_t m_begun = 0;
    std::size_t m_failures = 0;
    std::vector<double> m_latencies;
    std::vector<HttpCallPtr> m_calls;
};

int run()
{
    Bench bench;
    std::vector<double> direct;
    std::vector<double> carried;
    for (int i = 0; i < Rounds; ++i) {
        direct.push_back(median(bench.run(true)));
        carried.push_back(median(bench.run(false)));
    }
    const double added = median(carried) - median(direct);
    const nlohmann::json json{ { "directMedianMs", median(direct) },
                               { "carriedMedianMs", median(carried) },
                               { "addedMs", added },
                               { "targetMs", TargetMilliseconds },
                               { "failures", bench.failures() } };
    std::cout << json.dump(2) << '\n';
    return added < TargetMilliseconds && bench.failures() == 0 ? 0 : 1;
}

} // namespace
} // namespace Tarragon

int main()
{
    return Tarragon::run();
}
