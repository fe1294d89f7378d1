// Random schedules of the slot ledgers of one failure domain in virtual time, with lost, delayed
// and duplicated messages, paused and restarted entries and changing documents. A failing seed is
// printed; this command replays it:
//     TARRAGON_SEED=<seed> build/bin/test-steering --gtest_filter='SlotLedgerSchedule.*'

#include "ScheduleRandom.h"
#include "model/VirtualSchedule.h"
#include "steering/SlotLedger.h"

#include <gtest/gtest.h>

#include <memory>
#include <optional>
#include <sstream>

namespace Tarragon {
namespace {

/// Variants of the simulation. Each but the first leaves out one mechanism, to show that the
/// invariant depends on it.
enum class Variant {
    Complete,
    /// The permit is not checked when the request is sent, and the remaining time given to the
    /// target is the one from when the slot was acquired.
    NoCheckAtUse,
    /// The borrower counts the duration of a grant from the arrival of the response.
    BorrowerCountsFromAnswer,
    /// Entries report a new document as settled as soon as they have adopted it.
    SettledBeforeItFits,
    /// Reports that waited in the socket during a pause are accepted as current ones.
    NoEcho,
    /// A new incarnation does not wait until the grants of its previous incarnation have expired.
    NoWaitAfterStart,
};

/// Returns options with short times, so that each of them elapses within a schedule of seconds.
SlotLedgerOptions shortTimes()
{
    SlotLedgerOptions options;
    options.grantDuration = milliseconds(500);
    options.transitMargin = milliseconds(40);
    options.minRunTime = milliseconds(30);
    options.returnIdleAfter = milliseconds(100);
    options.grantRequestTimeout = milliseconds(60);
    options.noLendingAfterShortage = milliseconds(200);
    options.maxRequestTime = milliseconds(1'000);
    options.fenceTimeout = milliseconds(700);
    options.coldStartWait = options.neighbourTimeout();
    return options;
}

struct Statistics
{
    std::int64_t started = 0;
    std::int64_t borrowed = 0;
    std::int64_t refused = 0;
    std::int64_t fenced = 0;
    std::int64_t documents = 0;
};

class Domain
{
public:
    Domain(std::uint64_t seed, Variant variant)
        : m_random(seed)
        , m_variant(variant)
        , m_options(shortTimes())
    {
        m_instances = m_random.between(2, 4);
        m_entries.resize(static_cast<std::size_t>(m_instances));
        SlotShares first;
        first.generation = Generation(1);
        const int seats = m_random.between(1, std::min(3, m_instances));
        for (int i = 0; i < seats; ++i) {
            first.seats.push_back(instance(i));
        }
        const int targets = m_random.between(1, 3);
        for (int i = 0; i < targets; ++i) {
            first.targets.push_back(SlotTarget{ TargetId("t-" + std::to_string(i)),
                                                ServiceId("booking"),
                                                SlotCount{ m_random.between(1, 6) } });
        }
        m_documents.push_back(first);
        for (int i = 0; i < m_instances; ++i) {
            start(i);
            tick(i);
            arrive(i);
        }
        m_schedule.after(m_random.time(milliseconds(100), milliseconds(4'000)),
                         [this] { changeDocument(); });
        m_schedule.after(m_random.time(milliseconds(100), milliseconds(2'000)),
                         [this] { injectFault(); });
    }

    /// Runs the schedule until its end or the first violation, which it returns.
    std::optional<std::string> run()
    {
        while (!m_violation && m_schedule.step(seconds(15))) {
            check();
        }
        return m_violation;
    }
    const Statistics &statistics() const { return m_statistics; }

private:
    struct Entry
    {
        bool alive = false;
        std::uint64_t incarnation = 0;
        std::unique_ptr<SlotLedger> ledger;
        /// Clock of the process: offset plus real time, at a slightly wrong speed.
        microseconds offset{ 0 };
        std::int64_t speedPpm = 0;
        microseconds pausedUntil{ -1 };
        std::vector<VirtualSchedule::Action> buffered;
        std::set<TargetId> leavingKnown;
        std::map<std::uint64_t, MonotonicTime> requestSent;
        /// Until when grants of the previous incarnation may be in use, and the document that it
        /// had settled on.
        microseconds inheritedUntil{ -1 };
        Generation inherited;
        /// First document of this incarnation, which acts on no older one.
        Generation first;
    };
    struct Running
    {
        int entry = 0;
        std::uint64_t incarnation = 0;
        TargetId target;
    };

    static InstanceId instance(int i) { return InstanceId("entry-" + std::to_string(i)); }
    Entry &entry(int i) { return m_entries[static_cast<std::size_t>(i)]; }
    MonotonicTime clock(int i)
    {
        const Entry &it = entry(i);
        const microseconds now = m_schedule.now();
        return MonotonicTime(it.offset + now + microseconds(now.count() * it.speedPpm / 1'000'000));
    }
    bool isPaused(int i) { return entry(i).pausedUntil > m_schedule.now(); }

    /// Runs an action in the process of an entry, after the end of its pause if it is paused.
    /// Actions for an incarnation that has died are dropped.
    void inProcess(int i, microseconds delay, const VirtualSchedule::Action &action)
    {
        const std::uint64_t incarnation = entry(i).incarnation;
        m_schedule.after(delay, [this, i, incarnation, action] {
            if (!entry(i).alive || entry(i).incarnation != incarnation) {
                return;
            }
            if (isPaused(i)) {
                entry(i).buffered.push_back(action);
            } else {
                action();
            }
        });
    }

    void start(int i)
    {
        Entry &it = entry(i);
        it.alive = true;
        it.incarnation = m_random.bits();
        it.offset = m_random.time(milliseconds(10'000), milliseconds(1'000'000));
        it.speedPpm = m_random.between(-5'000, 5'000);
        it.pausedUntil = microseconds(-1);
        it.buffered.clear();
        it.leavingKnown.clear();
        it.requestSent.clear();
        it.first = Generation();
        const MonotonicTime now = clock(i);
        const bool noWait = m_variant == Variant::NoWaitAfterStart;
        it.ledger = std::make_unique<SlotLedger>(instance(i), Incarnation(it.incarnation),
                                                 m_options, noWait ? now - seconds(9) : now);
        // The store or the peer that the entry asks may return an older document.
        std::size_t document = m_documents.size() - 1;
        if (document > 0 && m_random.chance(20)) {
            --document;
        }
        for (; document < m_documents.size(); ++document) {
            const SlotShares shares = m_documents[document];
            const bool isLast = document + 1 == m_documents.size();
            inProcess(i, m_random.time(milliseconds(0), milliseconds(isLast ? 500 : 5)),
                      [this, i, shares] { adopt(i, shares); });
        }
    }

    void adopt(int i, const SlotShares &shares)
    {
        Entry &it = entry(i);
        it.first = it.first == Generation() ? shares.generation : it.first;
        it.ledger->adopt(shares, clock(i));
    }

    void kill(int i)
    {
        Entry &it = entry(i);
        it.inherited = it.ledger->settled(clock(i));
        it.inheritedUntil = m_schedule.now() + 2 * m_options.lenderHoldTime();
        it.alive = false;
        it.ledger.reset();
        // The entry's connections are closed; the targets notice it with a delay.
        const std::uint64_t incarnation = it.incarnation;
        m_schedule.after(m_random.time(milliseconds(1), milliseconds(10)), [this, i, incarnation] {
            std::erase_if(m_running, [&](const auto &running) {
                return running.second.entry == i && running.second.incarnation == incarnation;
            });
        });
        const bool soon = m_random.chance(70);
        m_schedule.after(m_random.time(milliseconds(50), milliseconds(soon ? 300 : 3'000)),
                         [this, i] {
                             start(i);
                             tick(i);
                             arrive(i);
                         });
    }

    void pause(int i)
    {
        Entry &it = entry(i);
        const bool isLong = m_random.chance(60);
        const microseconds length = isLong ? m_random.time(milliseconds(600), milliseconds(5'000))
                                           : m_random.time(milliseconds(5), milliseconds(600));
        it.pausedUntil = m_schedule.now() + length;
        const std::uint64_t incarnation = it.incarnation;
        m_schedule.after(length, [this, i, incarnation] {
            Entry &resumed = entry(i);
            if (!resumed.alive || resumed.incarnation != incarnation || isPaused(i)) {
                return;
            }
            std::vector<VirtualSchedule::Action> actions = std::move(resumed.buffered);
            resumed.buffered.clear();
            // Timers and sockets that are due are served in no particular order.
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
        const int i = m_random.below(m_instances);
        if (entry(i).alive && !isPaused(i)) {
            m_random.chance(40) ? kill(i) : pause(i);
        }
        m_schedule.after(m_random.time(milliseconds(100), milliseconds(2'500)),
                         [this] { injectFault(); });
    }

    void changeDocument()
    {
        SlotShares next = m_documents.back();
        next.previous = next.generation;
        next.generation = next.generation.next();
        if (m_random.chance(50)) {
            SlotTarget &target = next.targets[static_cast<std::size_t>(
                    m_random.below(static_cast<int>(next.targets.size())))];
            target.slots.value = m_random.between(1, 6);
        } else if (m_random.chance(50)) {
            std::swap(next.seats.front(), next.seats.back());
        } else {
            next.seats.clear();
            const int first = m_random.below(m_instances);
            const int seats = m_random.between(1, std::min(3, m_instances));
            for (int i = 0; i < seats; ++i) {
                next.seats.push_back(instance((first + i) % m_instances));
            }
        }
        m_documents.push_back(next);
        ++m_statistics.documents;
        for (int i = 0; i < m_instances; ++i) {
            if (entry(i).alive) {
                inProcess(i, m_random.time(milliseconds(0), milliseconds(1'500)),
                          [this, i, next] { adopt(i, next); });
            }
        }
        if (m_random.chance(30)) {
            setLeaving(next.targets.front().id, m_random.chance(50));
        }
        m_schedule.after(m_random.time(milliseconds(300), milliseconds(4'000)),
                         [this] { changeDocument(); });
    }

    void setLeaving(const TargetId &target, bool leaving)
    {
        for (int i = 0; i < m_instances; ++i) {
            if (!entry(i).alive) {
                continue;
            }
            inProcess(i, m_random.time(milliseconds(0), milliseconds(1'500)),
                      [this, i, target, leaving] {
                          entry(i).ledger->setLeaving(target, leaving);
                          leaving ? void(entry(i).leavingKnown.insert(target))
                                  : void(entry(i).leavingKnown.erase(target));
                      });
        }
    }

    /// Delivers a message to another process. It may be lost, delayed or duplicated.
    void deliver(int to, const VirtualSchedule::Action &action)
    {
        if (m_random.chance(5) || !entry(to).alive) {
            return;
        }
        const int copies = m_random.chance(5) ? 2 : 1;
        for (int i = 0; i < copies; ++i) {
            const bool late = m_random.chance(4);
            inProcess(to, m_random.time(milliseconds(1), milliseconds(late ? 400 : 8)), action);
        }
    }

    int indexOf(const InstanceId &id)
    {
        return std::stoi(id.value().substr(id.value().find('-') + 1));
    }

    void tick(int i)
    {
        Entry &it = entry(i);
        const MonotonicTime now = clock(i);
        m_statistics.fenced += it.ledger->isRecovering(now) ? 1 : 0;
        for (const InstanceId &other : it.ledger->others()) {
            sendReport(i, indexOf(other));
        }
        for (const GrantRequest &request : it.ledger->requestsToSend(now)) {
            it.requestSent[request.sequence] = now;
            deliver(indexOf(request.to), [this, request] { answer(request); });
        }
        inProcess(i, m_random.time(milliseconds(30), milliseconds(90)), [this, i] { tick(i); });
    }

    void sendReport(int from, int to)
    {
        ShareReport report = entry(from).ledger->reportFor(instance(to), clock(from));
        if (m_variant == Variant::SettledBeforeItFits) {
            report.settled = report.adopted;
            report.closed = report.adopted;
        }
        deliver(to, [this, to, report] {
            ShareReport received = report;
            if (m_variant == Variant::NoEcho) {
                received.echoedIncarnation = Incarnation(entry(to).incarnation);
                received.echoedSequence = UINT64_MAX;
            }
            entry(to).ledger->onShareReport(received, clock(to));
        });
    }

    void answer(const GrantRequest &request)
    {
        const int lender = indexOf(request.to);
        const GrantResponse response = entry(lender).ledger->onGrantRequest(request, clock(lender));
        const int borrower = indexOf(request.from);
        deliver(borrower, [this, borrower, response] {
            GrantResponse received = response;
            if (m_variant == Variant::BorrowerCountsFromAnswer) {
                received.duration +=
                        clock(borrower) - entry(borrower).requestSent[response.sequence];
            }
            entry(borrower).ledger->onGrantResponse(received, clock(borrower));
        });
    }

    /// Lets a request of a caller arrive at the entry, and schedules the next one.
    void arrive(int i)
    {
        const MonotonicTime now = clock(i);
        const MonotonicTime deadline = now + m_random.time(milliseconds(20), milliseconds(1'200));
        const SlotResult result =
                entry(i).ledger->acquireAny(ServiceId("booking"), {}, now, deadline);
        if (const SlotPermit *permit = std::get_if<SlotPermit>(&result)) {
            const microseconds untilSent = m_random.time(milliseconds(0), milliseconds(5));
            inProcess(i, untilSent, [this, i, permit = *permit, now] { send(i, permit, now); });
        } else {
            ++m_statistics.refused;
        }
        // Load differs between entries and with time, so that there is something to lend.
        const bool busy = (m_schedule.now() / seconds(2) + i) % 2 == 0;
        inProcess(i, m_random.time(milliseconds(1), milliseconds(busy ? 40 : 400)),
                  [this, i] { arrive(i); });
    }

    void send(int i, const SlotPermit &permit, MonotonicTime taken)
    {
        Entry &it = entry(i);
        const MonotonicTime now = clock(i);
        const bool checked = m_variant != Variant::NoCheckAtUse;
        if (checked && !it.ledger->mayStart(permit, now)) {
            it.ledger->release(permit.id, now);
            return;
        }
        if (checked && it.leavingKnown.contains(permit.target)) {
            violate("a request was sent to a target known as leaving");
        }
        const microseconds remaining = permit.runUntil - (checked ? now : taken);
        const std::uint64_t incarnation = it.incarnation;
        const std::uint64_t number = m_nextRunning++;
        ++m_statistics.started;
        m_statistics.borrowed += permit.borrowed ? 1 : 0;
        const microseconds transit = m_random.time(milliseconds(1), milliseconds(20));
        m_schedule.after(transit, [this, i, incarnation, permit, remaining, number] {
            begin(i, incarnation, permit, remaining, number);
        });
        // If no response comes, the entry closes the connection at the deadline.
        inProcess(i, std::max(microseconds(0), permit.runUntil - now),
                  [this, i, permit] { entry(i).ledger->abort(permit.id, clock(i)); });
    }

    void begin(int i, std::uint64_t incarnation, const SlotPermit &permit, microseconds remaining,
               std::uint64_t number)
    {
        if (!entry(i).alive || entry(i).incarnation != incarnation) {
            return;
        }
        m_running.emplace(number, Running{ i, incarnation, permit.target });
        const microseconds service = m_random.chance(10)
                                             ? seconds(5)
                                             : m_random.time(milliseconds(5), milliseconds(300));
        m_schedule.after(std::min(service, remaining), [this, i, incarnation, permit, number] {
            if (m_running.erase(number) == 0) {
                return;
            }
            const Entry &it = entry(i);
            if (it.alive && it.incarnation == incarnation && !m_random.chance(3)) {
                inProcess(i, m_random.time(milliseconds(1), milliseconds(20)),
                          [this, i, permit] { entry(i).ledger->release(permit.id, clock(i)); });
            }
        });
    }

    /// Returns the maximum number of slots of a target under all documents that an entry may act
    /// on.
    int slotsOf(const TargetId &target)
    {
        Generation oldest = m_documents.back().generation;
        for (int i = 0; i < m_instances; ++i) {
            const Entry &it = entry(i);
            if (it.inheritedUntil > m_schedule.now()) {
                oldest = std::min(oldest, it.inherited);
            }
            if (it.alive && it.first != Generation()) {
                // An entry that has settled on nothing yet may act on its first document.
                oldest = std::min(oldest, std::max(it.first, it.ledger->settled(clock(i))));
            }
        }
        int slots = 0;
        for (const SlotShares &document : m_documents) {
            for (const SlotTarget &it : document.targets) {
                if (it.id == target && document.generation >= oldest) {
                    slots = std::max(slots, it.slots.value);
                }
            }
        }
        return slots;
    }

    void check()
    {
        std::map<TargetId, int> running;
        for (const auto &[number, it] : m_running) {
            ++running[it.target];
        }
        for (const auto &[target, count] : running) {
            const int slots = slotsOf(target);
            if (count > slots) {
                std::ostringstream text;
                text << target << " runs " << count << " requests with " << slots << " slots";
                violate(text.str());
            }
        }
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
    SlotLedgerOptions m_options;
    int m_instances = 0;
    std::vector<Entry> m_entries;
    std::vector<SlotShares> m_documents;
    std::map<std::uint64_t, Running> m_running;
    std::uint64_t m_nextRunning = 1;
    std::optional<std::string> m_violation;
    Statistics m_statistics;
};

constexpr std::uint64_t ScheduleCount = 2'000;

// Guards against more requests at a target than it has slots, which would slow down or fail all of
// its requests.
TEST(SlotLedgerSchedule, NeverExceedsTheSlotsOfATarget)
{
    Statistics sum;
    for (const std::uint64_t seed : scheduleSeeds(ScheduleCount)) {
        Domain domain(seed, Variant::Complete);
        const std::optional<std::string> violation = domain.run();
        ASSERT_FALSE(violation) << "TARRAGON_SEED=" << seed << ": " << *violation;
        sum.started += domain.statistics().started;
        sum.borrowed += domain.statistics().borrowed;
        sum.refused += domain.statistics().refused;
        sum.fenced += domain.statistics().fenced;
        sum.documents += domain.statistics().documents;
    }
    std::cout << "started=" << sum.started << " borrowed=" << sum.borrowed
              << " refused=" << sum.refused << " waitingTicks=" << sum.fenced
              << " documents=" << sum.documents << '\n';
    // The schedules are a valid test only if enough requests run and slots are lent in them.
    if (std::getenv("TARRAGON_SEED") == nullptr) {
        EXPECT_GT(sum.started, 50 * static_cast<std::int64_t>(ScheduleCount));
        EXPECT_GT(sum.borrowed, 5 * static_cast<std::int64_t>(ScheduleCount));
        EXPECT_GT(sum.documents, 2 * static_cast<std::int64_t>(ScheduleCount));
    }
}

/// Returns the number of schedules in which the variant violates the invariant, up to five.
int violations(Variant variant)
{
    constexpr int Enough = 5;
    int count = 0;
    std::uint64_t seed = 0;
    while (seed < ScheduleCount && count < Enough) {
        Domain domain(++seed, variant);
        count += domain.run() ? 1 : 0;
    }
    std::cout << "violated in " << count << " of " << seed << " schedules\n";
    return count;
}

// Each of the following tests leaves one mechanism out and checks that the schedules then violate
// an invariant. Otherwise the schedules would not show that the mechanism works.
TEST(SlotLedgerSchedule, NeedsTheCheckAtTheMomentOfUse)
{
    EXPECT_GT(violations(Variant::NoCheckAtUse), 0);
}

TEST(SlotLedgerSchedule, NeedsTheBorrowerToCountFromItsRequest)
{
    EXPECT_GT(violations(Variant::BorrowerCountsFromAnswer), 0);
}

TEST(SlotLedgerSchedule, NeedsToWaitUntilTheUseFitsTheDocument)
{
    EXPECT_GT(violations(Variant::SettledBeforeItFits), 0);
}

TEST(SlotLedgerSchedule, NeedsTheEchoInReports)
{
    EXPECT_GT(violations(Variant::NoEcho), 0);
}

TEST(SlotLedgerSchedule, NeedsTheWaitAfterAStart)
{
    EXPECT_GT(violations(Variant::NoWaitAfterStart), 0);
}

} // namespace
} // namespace Tarragon
