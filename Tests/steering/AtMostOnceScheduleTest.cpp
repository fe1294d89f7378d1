// Random schedules of callers, entries and a target in virtual time, with lost, delayed and
// duplicated messages, paused and restarted entries. A failing seed is printed; this command
// replays it:
//     TARRAGON_SEED=<seed> build/bin/test-steering --gtest_filter='AtMostOnceSchedule.*'

#include "ScheduleRandom.h"
#include "model/VirtualSchedule.h"
#include "steering/AtMostOnceRegistry.h"
#include "steering/AtMostOnceRunner.h"

#include <gtest/gtest.h>

#include <memory>
#include <optional>
#include <set>
#include <type_traits>

namespace Tarragon {
namespace {

/// Variants of the simulation. Each but the first leaves out one mechanism, to show that the
/// invariants depend on it.
enum class Variant {
    Complete,
    /// The permission is checked when it arrives, not when the request is sent.
    NoCheckAtUse,
    /// The primary permits without asking the backup.
    NoConfirmation,
    /// A restarted entry keeps its incarnation, so that ids whose records are lost are served.
    SameIncarnation,
    /// Every attempt is numbered as a first one.
    AllAttemptsFirst,
    /// All attempts after the first have the same number, and so no order.
    LaterAttemptsAlike,
};

AtMostOnceOptions shortTimes()
{
    AtMostOnceOptions options;
    options.permission = milliseconds(200);
    options.primaryTimeout = milliseconds(60);
    options.confirmRetry = milliseconds(50);
    options.outcomeTimeout = milliseconds(900);
    options.seedPeriod = milliseconds(1'500);
    options.seedLifetime = milliseconds(1'500);
    options.registrationPeriod = milliseconds(200);
    options.primaryRecordRetention = milliseconds(4'000);
    return options;
}

constexpr microseconds MaxTransit{ 10'000 };

struct Statistics
{
    std::int64_t bookings = 0;
    std::int64_t runs = 0;
    std::int64_t ran = 0;
    std::int64_t notRun = 0;
    std::int64_t mayHaveRun = 0;
    std::int64_t takeovers = 0;
    std::int64_t replayed = 0;
};

class Simulation
{
public:
    Simulation(std::uint64_t seed, Variant variant)
        : m_random(seed)
        , m_variant(variant)
        , m_options(shortTimes())
    {
        if (m_random.chance(20)) {
            m_options.maxRecords = static_cast<std::size_t>(m_random.between(1, 12));
        }
        m_count = m_random.between(2, 4);
        m_entries.resize(static_cast<std::size_t>(m_count));
        for (int i = 0; i < m_count; ++i) {
            start(i);
        }
        m_schedule.after(milliseconds(300), [this] { book(); });
        m_schedule.after(milliseconds(500), [this] { injectFault(); });
    }

    std::optional<std::string> run()
    {
        while (!m_violation && m_schedule.step(seconds(12))) {
        }
        return m_violation;
    }
    const Statistics &statistics() const { return m_statistics; }

private:
    struct Try
    {
        int booking = 0;
        /// Position among the tries of the booking, and the attempt number sent to the entries.
        int serial = 0;
        int attempt = 0;
    };
    struct Entry
    {
        bool alive = false;
        std::uint64_t incarnation = 0;
        std::unique_ptr<AtMostOnceRegistry> registry;
        std::unique_ptr<AtMostOnceRunner> runner;
        std::map<RunNumber, Try> runs;
        /// When the last claim for an id was sent, in real time.
        std::map<RequestId, microseconds> claimedAt;
        microseconds offset{ 0 };
        std::int64_t speedPpm = 0;
        microseconds pausedUntil{ -1 };
        std::vector<VirtualSchedule::Action> buffered;
        /// State of this entry as seen by the other entries, which is updated with a delay.
        std::uint64_t seenIncarnation = 0;
        bool seenAlive = false;
    };
    struct Booking
    {
        RequestId id;
        int tries = 0;
        int attempt = 0;
        /// Serial of the try whose response the caller waits for; 0 if none.
        int waitingFor = 0;
        bool allNotRun = true;
        /// Highest serial of a try answered with NotRun: no try up to it may run any more.
        int notRunSerial = 0;
        int runs = 0;
        bool finished = false;
    };

    static InstanceId instance(int i) { return InstanceId("entry-" + std::to_string(i)); }
    static int indexOf(const InstanceId &id)
    {
        return std::stoi(id.value().substr(id.value().find('-') + 1));
    }
    Entry &entry(int i) { return m_entries[static_cast<std::size_t>(i)]; }
    Booking &booking(int i) { return m_bookings[static_cast<std::size_t>(i)]; }
    MonotonicTime clock(int i)
    {
        const microseconds now = m_schedule.now();
        return MonotonicTime(entry(i).offset + now
                             + microseconds(now.count() * entry(i).speedPpm / 1'000'000));
    }
    bool isPaused(int i) { return entry(i).pausedUntil > m_schedule.now(); }

    void inProcess(int i, microseconds delay, const VirtualSchedule::Action &action)
    {
        // A restarted process does not receive what its previous incarnation waited for. The
        // count in m_starts distinguishes them even if the incarnation is kept.
        const int life = m_starts[i];
        m_schedule.after(delay, [this, i, life, action] {
            if (!entry(i).alive || m_starts[i] != life) {
                return;
            }
            if (isPaused(i)) {
                entry(i).buffered.push_back(action);
            } else {
                action();
            }
        });
    }

    /// Delivers a message to the process that has the address when the message arrives. Remote
    /// messages may be lost, delayed or duplicated.
    void deliver(int to, const VirtualSchedule::Action &action, bool isLocal)
    {
        if (isLocal) {
            inProcess(to, microseconds(0), action);
            return;
        }
        if (m_random.chance(4)) {
            return;
        }
        const int copies = m_random.chance(5) ? 2 : 1;
        for (int i = 0; i < copies; ++i) {
            const bool late = m_random.chance(5);
            m_schedule.after(m_random.time(milliseconds(1), milliseconds(late ? 1'000 : 8)),
                             [this, to, action] {
                                 if (entry(to).alive) {
                                     inProcess(to, microseconds(0), action);
                                 }
                             });
        }
    }

    void start(int i)
    {
        Entry &it = entry(i);
        ++m_starts[i];
        it.alive = true;
        if (m_variant != Variant::SameIncarnation || it.incarnation == 0) {
            it.incarnation = m_random.bits();
        }
        it.offset = m_random.time(milliseconds(10'000), milliseconds(1'000'000));
        it.speedPpm = m_random.between(-5'000, 5'000);
        it.pausedUntil = microseconds(-1);
        it.buffered.clear();
        it.runs.clear();
        it.claimedAt.clear();
        it.registry = std::make_unique<AtMostOnceRegistry>(instance(i), Incarnation(it.incarnation),
                                                           m_options, clock(i));
        it.runner = std::make_unique<AtMostOnceRunner>(instance(i), Incarnation(it.incarnation),
                                                       m_options);
        const std::uint64_t incarnation = it.incarnation;
        m_schedule.after(m_random.time(milliseconds(10), milliseconds(400)),
                         [this, i, incarnation] {
                             entry(i).seenIncarnation = incarnation;
                             entry(i).seenAlive = true;
                         });
        tick(i);
    }

    void kill(int i)
    {
        entry(i).alive = false;
        entry(i).registry.reset();
        entry(i).runner.reset();
        m_schedule.after(m_random.time(milliseconds(100), milliseconds(600)),
                         [this, i] { entry(i).seenAlive = entry(i).alive && entry(i).seenAlive; });
        m_schedule.after(m_random.time(milliseconds(30), milliseconds(3'000)),
                         [this, i] { start(i); });
    }

    void pause(int i)
    {
        const microseconds length = m_random.chance(50)
                                            ? m_random.time(milliseconds(5), milliseconds(400))
                                            : m_random.time(milliseconds(400), milliseconds(5'000));
        entry(i).pausedUntil = m_schedule.now() + length;
        const int life = m_starts[i];
        m_schedule.after(length, [this, i, life] {
            if (!entry(i).alive || m_starts[i] != life || isPaused(i)) {
                return;
            }
            std::vector<VirtualSchedule::Action> actions = std::move(entry(i).buffered);
            entry(i).buffered.clear();
            for (std::size_t k = 0; k + 1 < actions.size(); ++k) {
                if (m_random.chance(20)) {
                    std::swap(actions[k], actions[k + 1]);
                }
            }
            for (const VirtualSchedule::Action &action : actions) {
                inProcess(i, microseconds(0), action);
            }
        });
    }

    void injectFault()
    {
        const int i = m_random.below(m_count);
        if (entry(i).alive && !isPaused(i)) {
            m_random.chance(40) ? kill(i) : pause(i);
        }
        m_schedule.after(m_random.time(milliseconds(50), milliseconds(1'500)),
                         [this] { injectFault(); });
    }

    void tick(int i)
    {
        Entry &it = entry(i);
        RegistryMessages out;
        chooseBackup(i, out);
        it.registry->tick(clock(i), out);
        it.runner->tick(clock(i), out);
        if (const std::optional<RequestIdSeed> seed = it.registry->seed(clock(i))) {
            m_seeds.emplace_back(m_schedule.now(), *seed);
        }
        send(i, out);
        inProcess(i, m_random.time(milliseconds(10), milliseconds(40)), [this, i] { tick(i); });
    }

    void chooseBackup(int i, RegistryMessages &out)
    {
        for (int k = 1; k < m_count; ++k) {
            const Entry &other = entry((i + k) % m_count);
            if (other.seenAlive) {
                entry(i).registry->setBackup(instance((i + k) % m_count),
                                             Incarnation(other.seenIncarnation), clock(i), out);
                return;
            }
        }
        entry(i).registry->clearBackup();
    }

    /// Sends the messages of the registry and runner of an entry, and continues the runs whose
    /// phase has changed.
    void send(int i, const RegistryMessages &out)
    {
        for (const RegistryMessage &message : out) {
            countStatistics(i, message.payload);
            const int to = indexOf(message.to);
            const ConfirmRequest *confirm = std::get_if<ConfirmRequest>(&message.payload);
            if (m_variant == Variant::NoConfirmation && confirm) {
                const ConfirmAnswer answer{ confirm->id, confirm->sequence,
                                            ConfirmOutcome::Confirmed };
                deliver(
                        i, [this, i, answer] { receive(i, answer); }, true);
                continue;
            }
            deliver(
                    to, [this, to, payload = message.payload] { receive(to, payload); }, to == i);
        }
        for (const RunNumber it : entry(i).runner->takeChanged()) {
            onChanged(i, it);
        }
    }

    void countStatistics(int i, const RegistryPayload &payload)
    {
        if (const ClaimRequest *claim = std::get_if<ClaimRequest>(&payload)) {
            if (!claim->settle) {
                entry(i).claimedAt[claim->id] = m_schedule.now();
            }
        } else if (const ClaimAnswer *answer = std::get_if<ClaimAnswer>(&payload)) {
            m_statistics.takeovers +=
                    answer->fromBackup && answer->outcome == ClaimOutcome::Permitted ? 1 : 0;
        }
    }

    void receive(int i, const RegistryPayload &payload)
    {
        RegistryMessages out;
        if (const ClaimAnswer *answer = std::get_if<ClaimAnswer>(&payload)) {
            entry(i).runner->receive(*answer, clock(i), out);
        } else {
            entry(i).registry->receive(payload, clock(i), out);
        }
        send(i, out);
    }

    void book()
    {
        // Lookup responses are cached: the seed is mostly recent, sometimes much older.
        const microseconds age = m_random.chance(10) ? seconds(6) : milliseconds(400);
        std::vector<RequestIdSeed> known;
        for (const auto &[at, seed] : m_seeds) {
            if (at + age >= m_schedule.now()) {
                known.push_back(seed);
            }
        }
        if (!known.empty()) {
            const int number = static_cast<int>(m_bookings.size());
            const RequestIdSeed &seed =
                    known[static_cast<std::size_t>(m_random.below(static_cast<int>(known.size())))];
            Booking next;
            next.id = RequestId(toString(seed) + ".b" + std::to_string(number));
            m_byId[next.id] = number;
            m_bookings.push_back(next);
            ++m_statistics.bookings;
            attempt(number);
        }
        m_schedule.after(m_random.time(milliseconds(5), milliseconds(120)), [this] { book(); });
    }

    void attempt(int number)
    {
        Booking &it = booking(number);
        ++it.tries;
        // Tries answered with NotRun need not be counted.
        it.attempt = it.allNotRun && m_random.chance(50) ? 1 : it.attempt + 1;
        it.waitingFor = it.tries;
        Try next{ number, it.tries, it.attempt };
        if (m_variant == Variant::AllAttemptsFirst) {
            next.attempt = 1;
        } else if (m_variant == Variant::LaterAttemptsAlike) {
            next.attempt = std::min(next.attempt, 2);
        }
        const int to = m_random.below(m_count);
        const bool late = m_random.chance(10);
        // Sent over a connection: one copy, possibly delayed, to the process that listens then.
        m_schedule.after(
                m_random.time(milliseconds(1), milliseconds(late ? 1'500 : 10)), [this, to, next] {
                    if (entry(to).alive) {
                        inProcess(to, microseconds(0), [this, to, next] { serve(to, next); });
                    }
                });
        const int serial = it.tries;
        m_schedule.after(m_random.time(milliseconds(30), milliseconds(1'200)),
                         [this, number, serial] {
                             if (booking(number).waitingFor == serial) {
                                 booking(number).allNotRun = false;
                                 scheduleRetry(number);
                             }
                         });
    }

    void scheduleRetry(int number)
    {
        Booking &it = booking(number);
        it.waitingFor = 0;
        if (it.tries < 5 && !it.finished) {
            m_schedule.after(m_random.time(milliseconds(0), milliseconds(200)),
                             [this, number] { attempt(number); });
        }
    }

    void serve(int i, const Try &next)
    {
        Entry &it = entry(i);
        RegistryMessages out;
        const RunNumber run = it.runner->begin(booking(next.booking).id, next.attempt,
                                               clock(i) + milliseconds(3'000), clock(i), out);
        it.runs.emplace(run, next);
        send(i, out);
    }

    void onChanged(int i, RunNumber run)
    {
        const auto found = entry(i).runs.find(run);
        if (found == entry(i).runs.end()) {
            return;
        }
        const RunPhase phase = entry(i).runner->status(run).phase;
        if (phase == RunPhase::Permitted) {
            const MonotonicTime permittedAt = clock(i);
            inProcess(i, m_random.time(milliseconds(0), milliseconds(15)),
                      [this, i, run, permittedAt] { begin(i, run, permittedAt); });
        } else if (phase == RunPhase::Settled) {
            end(i, run, Verdict::NotRun, std::nullopt);
        }
    }

    void begin(int i, RunNumber run, MonotonicTime permittedAt)
    {
        Entry &it = entry(i);
        const auto found = it.runs.find(run);
        if (found == it.runs.end() || it.runner->status(run).phase != RunPhase::Permitted) {
            return;
        }
        const MonotonicTime now = m_variant == Variant::NoCheckAtUse ? permittedAt : clock(i);
        RegistryMessages out;
        const bool mayStart = it.runner->start(run, now, out);
        send(i, out);
        if (!mayStart) {
            return;
        }
        if (m_random.chance(10)) {
            // The target refuses the connection.
            it.runner->notStarted(run);
            if (m_random.chance(50)) {
                inProcess(i, m_random.time(milliseconds(0), milliseconds(15)),
                          [this, i, run] { begin(i, run, clock(i)); });
            } else {
                end(i, run, Verdict::NotRun, std::nullopt);
            }
            return;
        }
        const Try sent = found->second;
        const microseconds claimedAt = it.claimedAt[booking(sent.booking).id];
        const bool timesOut = m_random.chance(8);
        m_schedule.after(m_random.time(milliseconds(1), milliseconds(10)),
                         [this, sent, claimedAt] { runAtTarget(sent, claimedAt); });
        inProcess(i, m_random.time(milliseconds(15), milliseconds(250)), [this, i, run, timesOut] {
            if (timesOut) {
                end(i, run, Verdict::MayHaveRun, std::nullopt);
            } else {
                end(i, run, Verdict::Ran, FinishedResponse{ 201, {}, "booked" });
            }
        });
    }

    void runAtTarget(const Try &sent, microseconds claimedAt)
    {
        Booking &it = booking(sent.booking);
        ++it.runs;
        ++m_statistics.runs;
        if (it.runs > 1) {
            violate(it.id.value() + " ran twice");
        }
        if (sent.serial <= it.notRunSerial) {
            violate(it.id.value() + " ran after its caller was told that it did not");
        }
        // Clock speeds differ from real time by at most 0.5 %.
        const microseconds latest = m_options.permission + m_options.permission / 100 + MaxTransit;
        if (m_schedule.now() - claimedAt > latest) {
            violate(it.id.value() + " ran later than its permission allows");
        }
    }

    void end(int i, RunNumber run, Verdict verdict, const std::optional<FinishedResponse> &response)
    {
        Entry &it = entry(i);
        const auto found = it.runs.find(run);
        if (found == it.runs.end()) {
            return;
        }
        const Try done = found->second;
        const bool hasResponse = response || it.runner->status(run).response;
        m_statistics.replayed += !response && hasResponse ? 1 : 0;
        RegistryMessages out;
        const Verdict reported = it.runner->finish(run, verdict, response, clock(i), out);
        it.runs.erase(found);
        send(i, out);
        if (m_random.chance(3)) {
            return;
        }
        m_schedule.after(m_random.time(milliseconds(1), milliseconds(10)),
                         [this, done, reported, hasResponse] {
                             receiveVerdict(done, reported, hasResponse);
                         });
    }

    /// Delivers the response to the caller, whose attempt may have timed out already.
    void receiveVerdict(const Try &done, Verdict verdict, bool hasResponse)
    {
        Booking &it = booking(done.booking);
        if (it.waitingFor != done.serial) {
            return;
        }
        if (verdict == Verdict::NotRun) {
            ++m_statistics.notRun;
            if (it.runs > 0) {
                violate(it.id.value() + " was told not to have run, but it had");
            }
            it.notRunSerial = done.serial;
        } else {
            it.allNotRun = false;
            (verdict == Verdict::Ran ? m_statistics.ran : m_statistics.mayHaveRun) += 1;
        }
        if ((verdict == Verdict::Ran || hasResponse) && it.runs == 0) {
            violate(it.id.value() + " was told to have run, but it had not");
        }
        it.finished = verdict == Verdict::Ran;
        scheduleRetry(done.booking);
    }

    void violate(const std::string &text)
    {
        if (!m_violation) {
            m_violation = text + " at " + std::to_string(m_schedule.now().count()) + " us";
        }
    }

    VirtualSchedule m_schedule;
    ScheduleRandom m_random;
    Variant m_variant;
    AtMostOnceOptions m_options;
    int m_count = 0;
    std::vector<Entry> m_entries;
    std::map<int, int> m_starts;
    std::vector<std::pair<microseconds, RequestIdSeed>> m_seeds;
    std::vector<Booking> m_bookings;
    std::map<RequestId, int> m_byId;
    std::optional<std::string> m_violation;
    Statistics m_statistics;
};

constexpr std::uint64_t ScheduleCount = 2'000;

// Guards against a payment that runs twice, or that runs after it was reported as not run.
TEST(AtMostOnceSchedule, RunsEachRequestAtMostOnceAndReportsTrueVerdicts)
{
    Statistics sum;
    for (const std::uint64_t seed : scheduleSeeds(ScheduleCount)) {
        Simulation simulation(seed, Variant::Complete);
        const std::optional<std::string> violation = simulation.run();
        ASSERT_FALSE(violation) << "TARRAGON_SEED=" << seed << ": " << *violation;
        sum.bookings += simulation.statistics().bookings;
        sum.runs += simulation.statistics().runs;
        sum.ran += simulation.statistics().ran;
        sum.notRun += simulation.statistics().notRun;
        sum.mayHaveRun += simulation.statistics().mayHaveRun;
        sum.takeovers += simulation.statistics().takeovers;
        sum.replayed += simulation.statistics().replayed;
    }
    std::cout << "bookings=" << sum.bookings << " runs=" << sum.runs << " toldRan=" << sum.ran
              << " toldNotRun=" << sum.notRun << " toldMayHaveRun=" << sum.mayHaveRun
              << " takeovers=" << sum.takeovers << " replayed=" << sum.replayed << '\n';
    // The schedules are a valid test only if they take all paths often enough.
    if (std::getenv("TARRAGON_SEED") == nullptr) {
        const auto count = static_cast<std::int64_t>(ScheduleCount);
        EXPECT_GT(sum.runs, 20 * count);
        EXPECT_GT(sum.notRun, 5 * count);
        EXPECT_GT(sum.mayHaveRun, 5 * count);
        EXPECT_GT(sum.takeovers, 2 * count);
        EXPECT_GT(sum.replayed, count);
    }
}

/// Returns the number of schedules in which the variant violates an invariant, up to five.
int violations(Variant variant)
{
    constexpr int Enough = 5;
    int count = 0;
    std::uint64_t seed = 0;
    std::string first;
    while (seed < ScheduleCount && count < Enough) {
        Simulation simulation(++seed, variant);
        const std::optional<std::string> violation = simulation.run();
        count += violation ? 1 : 0;
        first = first.empty() ? violation.value_or("") : first;
    }
    std::cout << "violated in " << count << " of " << seed << " schedules, first: " << first
              << '\n';
    return count;
}

// Each of the following tests leaves one mechanism out and checks that the schedules then violate
// an invariant. Otherwise the schedules would not show that the mechanism works.
TEST(AtMostOnceSchedule, NeedsTheCheckAtTheMomentOfUse)
{
    EXPECT_GT(violations(Variant::NoCheckAtUse), 0);
}

TEST(AtMostOnceSchedule, NeedsTheConfirmationOfTheBackup)
{
    EXPECT_GT(violations(Variant::NoConfirmation), 0);
}

TEST(AtMostOnceSchedule, NeedsANewIncarnationAfterARestart)
{
    EXPECT_GT(violations(Variant::SameIncarnation), 0);
}

TEST(AtMostOnceSchedule, NeedsToDistinguishFirstAttemptsFromLaterOnes)
{
    EXPECT_GT(violations(Variant::AllAttemptsFirst), 0);
}

TEST(AtMostOnceSchedule, NeedsTheOrderOfAttempts)
{
    EXPECT_GT(violations(Variant::LaterAttemptsAlike), 0);
}

} // namespace
} // namespace Tarragon
