// Compares two ways to run a booking at most once: RegistryClaim uses the registry kept by two
// entries, StoreClaim a claim object in the platform's store with one conditional update before the
// run and none after it. Added latency, number of messages and failures come from a simulation in
// virtual time with fixed seeds. The simulated store is 20 ms away, accepts 300 writes a second of
// 5 ms each and has an outage of 10 s within 60 s; the entries are 3.5 ms from each other; a claim
// times out after 1 s. RegistryProcessorTime measures the processor time of a booking in the
// primary, the backup and the runner together.

#include "steering/AtMostOnceRegistry.h"
#include "steering/AtMostOnceRunner.h"

#include <benchmark/benchmark.h>

#include <algorithm>
#include <random>
#include <vector>

namespace Tarragon {
namespace {

constexpr microseconds EntryDelay{ 3'500 };
constexpr microseconds StoreDelay{ 20'000 };
constexpr microseconds StoreWriteTime{ 5'000 };
constexpr microseconds ClaimTimeout{ 1'000'000 };
constexpr microseconds OutageFrom{ 20'000'000 };
constexpr microseconds OutageUntil{ 30'000'000 };
constexpr microseconds End{ 60'000'000 };
constexpr double StoreWritesPerSecond = 300;

/// Primary, backup and runner in one process. Delivers their messages without delay and counts
/// them.
class Entries
{
public:
    Entries()
        : m_primary(InstanceId("p"), Incarnation(1), AtMostOnceOptions(), MonotonicTime())
        , m_backup(InstanceId("b"), Incarnation(2), AtMostOnceOptions(), MonotonicTime())
        , m_runner(InstanceId("r"), Incarnation(3), AtMostOnceOptions())
    {
        RegistryMessages out;
        m_primary.setBackup(InstanceId("b"), Incarnation(2), m_now, out);
        carry(out);
    }

    /// Runs one booking and returns the number of messages exchanged for it.
    int book(std::uint64_t number)
    {
        m_now += milliseconds(20);
        m_messages = 0;
        const std::optional<RequestIdSeed> seed = m_primary.seed(m_now);
        const RequestId id(toString(seed.value()) + ".b" + std::to_string(number));
        RegistryMessages out;
        const RunNumber run = m_runner.begin(id, 1, m_now + seconds(5), m_now, out);
        carry(out);
        m_untilPermitted = m_messages;
        RegistryMessages none;
        m_permitted += m_runner.start(run, m_now, none) ? 1 : 0;
        RegistryMessages end;
        m_runner.finish(run, Verdict::Ran, FinishedResponse{ 201, {}, std::string(500, 'x') },
                        m_now, end);
        carry(end);
        m_runner.takeChanged();
        if (number % 50 == 0) {
            RegistryMessages ticks;
            m_primary.tick(m_now, ticks);
            m_backup.tick(m_now, ticks);
            carry(ticks);
        }
        return m_messages;
    }
    int untilPermitted() const { return m_untilPermitted; }
    std::uint64_t permitted() const { return m_permitted; }
    std::size_t records() const { return m_primary.recordCount(); }

private:
    void carry(const RegistryMessages &messages)
    {
        for (const RegistryMessage &it : messages) {
            ++m_messages;
            RegistryMessages out;
            if (it.to == InstanceId("p")) {
                m_primary.receive(it.payload, m_now, out);
            } else if (it.to == InstanceId("b")) {
                m_backup.receive(it.payload, m_now, out);
            } else if (const ClaimAnswer *answer = std::get_if<ClaimAnswer>(&it.payload)) {
                m_runner.receive(*answer, m_now, out);
            }
            carry(out);
        }
    }

    AtMostOnceRegistry m_primary;
    AtMostOnceRegistry m_backup;
    AtMostOnceRunner m_runner;
    MonotonicTime m_now;
    int m_messages = 0;
    int m_untilPermitted = 0;
    std::uint64_t m_permitted = 0;
};

void registryProcessorTime(benchmark::State &state)
{
    Entries entries;
    std::uint64_t number = 0;
    int messages = 0;
    for (auto _ : state) {
        messages = entries.book(++number);
    }
    state.counters["messages"] = messages;
    state.counters["messages_before_start"] = entries.untilPermitted();
    state.counters["permitted_percent"] =
            100.0 * static_cast<double>(entries.permitted()) / static_cast<double>(number);
    state.counters["records"] = static_cast<double>(entries.records());
}

void report(benchmark::State &state, std::vector<double> &added, double failed, double messages)
{
    std::sort(added.begin(), added.end());
    const auto quantile = [&](double q) {
        return added.empty()
                       ? 0.0
                       : added[static_cast<std::size_t>(q * static_cast<double>(added.size() - 1))]
                                 / 1e3;
    };
    const double all = static_cast<double>(added.size()) + failed;
    state.counters["added_median_ms"] = quantile(0.5);
    state.counters["added_p99_ms"] = quantile(0.99);
    state.counters["failed_percent"] = 100 * failed / all;
    state.counters["messages"] = messages;
}

/// Simulates claims in the store. Argument: bookings a second in the whole deployment.
void storeClaim(benchmark::State &state)
{
    std::vector<double> added;
    double failed = 0;
    for (auto _ : state) {
        added.clear();
        failed = 0;
        std::mt19937_64 engine(1);
        std::exponential_distribution<double> gap(static_cast<double>(state.range(0)) / 1e6);
        double now = 0;
        double storeFree = 0;
        while ((now += gap(engine)) < static_cast<double>(End.count())) {
            const double arrival = now + static_cast<double>(StoreDelay.count());
            const bool isOut = arrival >= static_cast<double>(OutageFrom.count())
                               && arrival < static_cast<double>(OutageUntil.count());
            const double begin = std::max(arrival, storeFree);
            const double total =
                    begin - now + static_cast<double>(StoreWriteTime.count() + StoreDelay.count());
            if (isOut || total > static_cast<double>(ClaimTimeout.count())) {
                failed += 1;
                continue;
            }
            storeFree = begin + 1e6 / StoreWritesPerSecond;
            added.push_back(total);
        }
    }
    report(state, added, failed, 2);
}

/// Simulates claims in the registry. Argument: 0 if the runner is the primary, 1 if it is another
/// entry of the failure domain, 2 if it is in another region. Neither the rate of bookings nor a
/// store outage affects the registry.
void registryClaim(benchmark::State &state)
{
    std::vector<double> added;
    double failed = 0;
    constexpr int Bookings = 10'000;
    constexpr std::uint64_t LossPercent = 1;
    const AtMostOnceOptions options;
    for (auto _ : state) {
        added.clear();
        failed = 0;
        std::mt19937_64 engine(1);
        for (int i = 0; i < Bookings; ++i) {
            const auto lost = [&] { return engine() % 100 < LossPercent; };
            const microseconds toPrimary = state.range(0) == 0   ? microseconds(0)
                                           : state.range(0) == 1 ? EntryDelay
                                                                 : StoreDelay;
            // A lost confirmation is requested again after confirmRetry. After a lost claim, the
            // runner turns to the backup when primaryTimeout has passed. After a lost reply, the
            // booking fails: for a claim that the backup has already confirmed to the primary, the
            // backup reports only that the claim exists.
            microseconds total = 2 * toPrimary + 2 * EntryDelay;
            while (lost() || lost()) {
                total += options.confirmRetry;
            }
            const bool claimLost = state.range(0) != 0 && lost();
            const bool answerLost = state.range(0) != 0 && lost();
            if (claimLost) {
                total = options.primaryTimeout + 2 * toPrimary;
            }
            if (answerLost || total >= options.permission) {
                failed += 1;
                continue;
            }
            added.push_back(static_cast<double>(total.count()));
        }
    }
    report(state, added, failed, state.range(0) == 0 ? 3 : 6);
}

BENCHMARK(registryProcessorTime)->Name("RegistryProcessorTime")->Iterations(50'000);
BENCHMARK(storeClaim)
        ->Name("StoreClaim")
        ->ArgName("bookings_per_s")
        ->Arg(50)
        ->Arg(200)
        ->Arg(290)
        ->Arg(400)
        ->Iterations(1);
BENCHMARK(registryClaim)
        ->Name("RegistryClaim")
        ->ArgName("runner")
        ->Arg(0)
        ->Arg(1)
        ->Arg(2)
        ->Iterations(1);

} // namespace
} // namespace Tarragon

BENCHMARK_MAIN();
