// Compares three ways to share the slots of a failure domain's targets between its two entries: a
// static split, expiring grants (SlotLedger), and a home instance for each target to which the
// other entry forwards requests. The simulation runs in virtual time with fixed seeds. The results
// are the counters; the time column shows only the processor time of the simulation itself.
//
// Arguments: slots of a target; percentage of the requests that arrive at the first entry; load in
// percent of all slots; disturbance (0: none; 1: the first entry fails at 10 s and restarts at
// 20 s; 2: the first entry is paused from 10 s to 15 s). Callers of an unresponsive entry time out
// after 250 ms and go to the other entry; for the following 2 s (the lookup TTL) they use it
// directly.

#include "steering/SlotLedger.h"

#include <benchmark/benchmark.h>

#include <algorithm>
#include <array>
#include <functional>
#include <memory>
#include <queue>
#include <random>

namespace Tarragon {
namespace {

enum class Scheme { StaticSplit, Grants, HomeInstance };

constexpr int Targets = 4;
constexpr int Entries = 2;
constexpr microseconds Hop{ 3'500 };
constexpr microseconds Tick{ 50'000 };
constexpr microseconds HeartbeatPeriod{ 500'000 };
constexpr microseconds CallerTimeout{ 250'000 };
constexpr microseconds LookupTtl{ 2'000'000 };
constexpr microseconds FailureDetectionTime{ 3'000'000 };
constexpr microseconds DisturbanceStart{ 10'000'000 };
constexpr microseconds RestartTime{ 20'000'000 };
constexpr microseconds ResumeTime{ 15'000'000 };
constexpr microseconds End{ 30'000'000 };
constexpr microseconds MeanService{ 200'000 };
constexpr microseconds Deadline{ 1'500'000 };
constexpr microseconds Bucket{ 250'000 };

struct Result
{
    double offered = 0;
    double served = 0;
    double refused = 0;
    double lost = 0;
    double hops = 0;
    double cut = 0;
    double messages = 0;
    double busyMicroseconds = 0;
    /// Requests that were refused or lost, and requests that arrived, in each bucket of virtual
    /// time.
    std::array<double, static_cast<std::size_t>(End / Bucket)> failed{};
    std::array<double, static_cast<std::size_t>(End / Bucket)> arrived{};
};

class Simulation
{
public:
    Simulation(Scheme scheme, int slots, int skewPercent, int loadPercent, int disturbance,
               std::uint64_t seed)
        : m_scheme(scheme)
        , m_slots(slots)
        , m_skew(skewPercent)
        , m_disturbance(disturbance)
        , m_engine(seed)
    {
        m_shares.generation = Generation(1);
        for (int i = 0; i < Entries; ++i) {
            m_shares.seats.push_back(instance(i));
        }
        for (int i = 0; i < Targets; ++i) {
            m_shares.targets.push_back(
                    SlotTarget{ target(i), ServiceId("s"), SlotCount{ m_slots } });
        }
        for (int i = 0; i < Entries; ++i) {
            restart(i);
        }
        const double perSecond = loadPercent / 100.0 * Targets * slots
                                 / (static_cast<double>(MeanService.count()) / 1e6);
        m_meanGap = 1e6 / perSecond;
        after(microseconds(0), [this] { tick(); });
        after(microseconds(0), [this] { heartbeat(); });
        // No requests arrive during the warm-up: the start of the ledgers is not compared.
        after(Warmup, [this] { arrive(); });
        if (m_disturbance == 1) {
            after(Warmup + DisturbanceStart, [this] { failEntry(0); });
            after(Warmup + RestartTime, [this] { restart(0); });
        } else if (m_disturbance == 2) {
            after(Warmup + DisturbanceStart, [this] { m_pausedUntil = Warmup + ResumeTime; });
        }
    }

    Result run()
    {
        while (!m_events.empty() && m_events.top().at < Warmup + End) {
            const Event event = m_events.top();
            m_events.pop();
            m_now = event.at;
            event.action();
        }
        return m_result;
    }

private:
    static constexpr microseconds Warmup{ 5'000'000 };

    struct Event
    {
        microseconds at;
        std::uint64_t order = 0;
        std::function<void()> action;
        friend bool operator<(const Event &a, const Event &b)
        {
            return a.at != b.at ? a.at > b.at : a.order > b.order;
        }
    };

    static InstanceId instance(int i) { return InstanceId("e-" + std::to_string(i)); }
    static TargetId target(int i) { return TargetId("t-" + std::to_string(i)); }
    MonotonicTime now() const { return MonotonicTime(seconds(1) + m_now); }
    void after(microseconds delay, std::function<void()> action)
    {
        m_events.push(Event{ m_now + delay, m_order++, std::move(action) });
    }
    bool answers(int i) const
    {
        return m_alive[static_cast<std::size_t>(i)] && !(i == 0 && m_now < m_pausedUntil);
    }
    SlotLedger &ledger(int i) { return *m_ledgers[static_cast<std::size_t>(i)]; }

    void restart(int i)
    {
        m_alive[static_cast<std::size_t>(i)] = true;
        m_ledgers[static_cast<std::size_t>(i)] = std::make_unique<SlotLedger>(
                instance(i), Incarnation(++m_incarnation), SlotLedgerOptions(), now());
        ledger(i).adopt(m_shares, now());
    }

    void failEntry(int i)
    {
        m_alive[static_cast<std::size_t>(i)] = false;
        m_failedAt = m_now;
        ++m_failureCount;
        m_homeRunning.fill(0);
        m_result.lost += m_runningAt[static_cast<std::size_t>(i)];
        m_runningAt[static_cast<std::size_t>(i)] = 0;
    }

    void heartbeat()
    {
        for (int i = 0; i < Entries; ++i) {
            if (!answers(i)) {
                continue;
            }
            const int other = 1 - i;
            const ShareReport report = ledger(i).reportFor(instance(other), now());
            after(Hop, [this, other, report] {
                if (answers(other)) {
                    ledger(other).onShareReport(report, now());
                }
            });
        }
        after(HeartbeatPeriod, [this] { heartbeat(); });
    }

    void tick()
    {
        if (m_scheme == Scheme::Grants) {
            for (int i = 0; i < Entries; ++i) {
                if (answers(i)) {
                    borrow(i);
                }
            }
        }
        after(Tick, [this] { tick(); });
    }

    void borrow(int i)
    {
        for (const GrantRequest &request : ledger(i).requestsToSend(now())) {
            m_result.messages += 1;
            after(Hop, [this, i, request] {
                if (!answers(1 - i)) {
                    return;
                }
                const GrantResponse response = ledger(1 - i).onGrantRequest(request, now());
                m_result.messages += 1;
                after(Hop, [this, i, response] {
                    if (answers(i)) {
                        ledger(i).onGrantResponse(response, now());
                    }
                });
            });
        }
    }

    std::size_t bucket() const
    {
        const auto index = static_cast<std::size_t>((m_now - Warmup) / Bucket);
        return std::min(index, m_result.failed.size() - 1);
    }

    void arrive()
    {
        m_result.offered += 1;
        m_result.arrived[bucket()] += 1;
        int at = static_cast<int>(m_engine() % 100) < m_skew ? 0 : 1;
        if (at == 0 && m_now < m_avoidUntil) {
            at = 1;
        }
        serveAt(at);
        std::exponential_distribution<double> gap(1 / m_meanGap);
        after(microseconds(1 + static_cast<std::int64_t>(gap(m_engine))), [this] { arrive(); });
    }

    void serveAt(int at)
    {
        if (!answers(at)) {
            after(CallerTimeout, [this] {
                m_avoidUntil = m_now + LookupTtl;
                m_result.hops += 1;
                serve(1);
            });
            return;
        }
        serve(at);
    }

    void fail(double &counter)
    {
        counter += 1;
        m_result.failed[bucket()] += 1;
    }

    void serve(int at)
    {
        if (!answers(at)) {
            fail(m_result.lost);
            return;
        }
        std::exponential_distribution<double> law(1.0 / static_cast<double>(MeanService.count()));
        const microseconds service(1 + static_cast<std::int64_t>(law(m_engine)));
        if (m_scheme == Scheme::HomeInstance) {
            serveAtHome(at, service);
            return;
        }
        const SlotResult result =
                ledger(at).acquireAny(ServiceId("s"), {}, now(), now() + Deadline);
        const SlotPermit *permit = std::get_if<SlotPermit>(&result);
        if (!permit) {
            fail(m_result.refused);
            if (m_scheme == Scheme::Grants) {
                borrow(at);
            }
            return;
        }
        const microseconds allowed = permit->runUntil - now();
        const std::uint64_t id = permit->id;
        const bool isCut = service > allowed;
        run(at, std::min(service, allowed), isCut, [this, at, id, isCut] {
            isCut ? ledger(at).abort(id, now()) : ledger(at).release(id, now());
        });
    }

    /// Runs the request at the home instance of a target, which owns all slots of that target. When
    /// the first entry has failed, the other becomes home of all targets once the failure has been
    /// detected and every request of the first entry has reached its deadline.
    void serveAtHome(int at, microseconds service)
    {
        const bool moved = !m_alive[0] && m_now - m_failedAt > FailureDetectionTime + Deadline;
        int best = -1;
        int free = 0;
        for (int i = 0; i < Targets; ++i) {
            const int left = m_slots - m_homeRunning[static_cast<std::size_t>(i)];
            const int home = moved ? 1 : i % Entries;
            // Targets of the entry itself are preferred, as they need no hop.
            const int score = left * 2 + (home == at ? 1 : 0);
            if (left > 0 && score > free) {
                free = score;
                best = i;
            }
        }
        if (best < 0) {
            fail(m_result.refused);
            return;
        }
        const int home = moved ? 1 : best % Entries;
        if (home != at) {
            m_result.hops += 1;
            m_result.messages += 2;
        }
        if (!answers(home)) {
            fail(m_result.lost);
            return;
        }
        const auto index = static_cast<std::size_t>(best);
        ++m_homeRunning[index];
        const bool isCut = service > Deadline;
        const std::uint64_t failureCount = m_failureCount;
        run(home, std::min(service, Deadline), isCut, [this, index, failureCount] {
            if (failureCount == m_failureCount) {
                --m_homeRunning[index];
            }
        });
    }

    void run(int at, microseconds length, bool isCut, std::function<void()> end)
    {
        const auto index = static_cast<std::size_t>(at);
        ++m_runningAt[index];
        const InstanceLife life{ m_incarnation, m_alive[index] };
        after(length, [this, index, life, at, length, isCut, end = std::move(end)] {
            if (!m_alive[index] || (at == 0 && life.incarnation != m_incarnation)) {
                return;
            }
            --m_runningAt[index];
            (isCut ? m_result.cut : m_result.served) += 1;
            m_result.busyMicroseconds += static_cast<double>(length.count());
            end();
        });
    }

    struct InstanceLife
    {
        std::uint64_t incarnation = 0;
        bool alive = true;
    };

    Scheme m_scheme;
    int m_slots;
    int m_skew;
    int m_disturbance;
    std::mt19937_64 m_engine;
    SlotShares m_shares;
    std::array<std::unique_ptr<SlotLedger>, Entries> m_ledgers;
    std::array<bool, Entries> m_alive{};
    std::array<int, Targets> m_homeRunning{};
    std::array<double, Entries> m_runningAt{};
    std::uint64_t m_incarnation = 0;
    std::uint64_t m_failureCount = 0;
    microseconds m_now{ 0 };
    microseconds m_failedAt{ 0 };
    microseconds m_pausedUntil{ 0 };
    microseconds m_avoidUntil{ 0 };
    double m_meanGap = 0;
    std::uint64_t m_order = 0;
    std::priority_queue<Event> m_events;
    Result m_result;
};

/// Returns the time in seconds from the disturbance until the ratio of failed requests in every
/// later window of one second is at most 2 percentage points above the ratio before the
/// disturbance. Without recovery, counts until the end of the simulation.
double recovery(const Result &result)
{
    constexpr std::size_t First = DisturbanceStart / Bucket;
    constexpr std::size_t Window = 4;
    double failed = 0;
    double arrived = 0;
    for (std::size_t i = 0; i < First; ++i) {
        failed += result.failed[i];
        arrived += result.arrived[i];
    }
    const double before = failed / std::max(1.0, arrived);
    std::size_t last = First;
    for (std::size_t i = First; i + Window <= result.failed.size(); ++i) {
        failed = 0;
        arrived = 0;
        for (std::size_t k = i; k < i + Window; ++k) {
            failed += result.failed[k];
            arrived += result.arrived[k];
        }
        if (failed / std::max(1.0, arrived) > before + 0.02) {
            last = i + Window;
        }
    }
    return static_cast<double>((last - First) * Bucket.count()) / 1e6;
}

template<Scheme scheme>
void slotSharing(benchmark::State &state)
{
    constexpr std::uint64_t Seeds = 10;
    const int slots = static_cast<int>(state.range(0));
    Result sum;
    double recoverySum = 0;
    for (auto _ : state) {
        sum = Result();
        recoverySum = 0;
        for (std::uint64_t seed = 1; seed <= Seeds; ++seed) {
            Simulation simulation(scheme, slots, static_cast<int>(state.range(1)),
                                  static_cast<int>(state.range(2)),
                                  static_cast<int>(state.range(3)), seed);
            const Result result = simulation.run();
            sum.offered += result.offered;
            sum.served += result.served;
            sum.refused += result.refused;
            sum.lost += result.lost;
            sum.hops += result.hops;
            sum.cut += result.cut;
            sum.messages += result.messages;
            sum.busyMicroseconds += result.busyMicroseconds;
            for (std::size_t i = 0; i < sum.failed.size(); ++i) {
                sum.failed[i] += result.failed[i];
                sum.arrived[i] += result.arrived[i];
            }
        }
        recoverySum = recovery(sum);
    }
    const double slotTime = static_cast<double>(Seeds * static_cast<std::uint64_t>(Targets * slots))
                            * static_cast<double>(End.count());
    state.counters["use_percent"] = 100 * sum.busyMicroseconds / slotTime;
    state.counters["refused_percent"] = 100 * sum.refused / sum.offered;
    state.counters["lost_percent"] = 100 * sum.lost / sum.offered;
    state.counters["cut_percent"] = 100 * sum.cut / sum.offered;
    state.counters["hops_per_request"] = sum.hops / sum.offered;
    state.counters["messages_per_request"] = sum.messages / sum.offered;
    if (state.range(3) != 0) {
        state.counters["recovery_s"] = recoverySum;
    }
}

void cases(benchmark::internal::Benchmark *bench)
{
    bench->ArgNames({ "slots", "skew", "load", "disturbance" });
    for (const int slots : { 3, 4, 5, 6 }) {
        for (const int skew : { 50, 70, 90 }) {
            bench->Args({ slots, skew, 60, 0 });
        }
        bench->Args({ slots, 70, 95, 0 });
        bench->Args({ slots, 70, 40, 1 });
        bench->Args({ slots, 70, 40, 2 });
    }
    bench->Iterations(1)->Unit(benchmark::kMillisecond);
}

BENCHMARK(slotSharing<Scheme::StaticSplit>)->Apply(cases)->Name("StaticSplit");
BENCHMARK(slotSharing<Scheme::Grants>)->Apply(cases)->Name("Grants");
BENCHMARK(slotSharing<Scheme::HomeInstance>)->Apply(cases)->Name("HomeInstance");

} // namespace
} // namespace Tarragon

BENCHMARK_MAIN();
