#include "SuspectSimulation.h"

#include <algorithm>
#include <utility>

namespace Tarragon {

namespace {

constexpr MonotonicTime Origin{ seconds(1'000) };
constexpr std::size_t DomainCount = 6;
constexpr std::size_t RegionCount = 3;
constexpr microseconds DelayInDomain{ 1'000 };
constexpr microseconds DelayInRegion{ 3'500 };
constexpr microseconds DelayBetweenRegions{ 20'000 };
constexpr microseconds GossipPeriod{ 400'000 };
constexpr microseconds NewsPeriod{ 5'000 };
/// Time from the start of a run to the end of the target, as the users' record shows it.
constexpr microseconds HarmfulWork{ 60'000 };
constexpr microseconds RequestTimeout{ 1'200'000 };
constexpr microseconds MinRetryTime{ 60'000 };
/// Time for which an entry leaves out a target that refused a connection.
constexpr microseconds UnreachableTime{ 1'000'000 };
constexpr int MaxAttempts = 2;
constexpr std::size_t TargetQueue = 4;
/// Traffic starts after the entries know each other.
constexpr microseconds TrafficStart{ 5'000'000 };
constexpr microseconds ContactTime{ 3'000'000 };

FailureDomainId domainOf(std::size_t index)
{
    return FailureDomainId("d" + std::to_string(index % DomainCount));
}

RegionId regionOf(const FailureDomainId &domain)
{
    return RegionId("r" + std::to_string(std::stoul(domain.value().substr(1)) % RegionCount));
}

} // namespace

SuspectSimulation::Process::Process(const EntryRecord &record, std::uint64_t seed,
                                    RequestTrials::AskSlot ask, RequestTrials::EndSlot end,
                                    SuspectNews::SendSlot send)
    : membership(record, seed)
    , trials(membership, suspects, std::move(ask), std::move(end))
    , news(membership, suspects, std::move(send))
{}

SuspectSimulation::SuspectSimulation(const SuspectScenario &scenario)
    : m_scenario(scenario)
    , m_random(scenario.seed)
    , m_harmful(static_cast<std::size_t>(scenario.harmfulRequests))
{
    for (int i = 0; i < scenario.targets; ++i) {
        Target target;
        target.domain = domainOf(static_cast<std::size_t>(i));
        m_targets.push_back(target);
    }
    for (std::size_t i = 0; i < static_cast<std::size_t>(scenario.entries); ++i) {
        Entry entry;
        entry.record.instance = InstanceId("e" + std::to_string(i));
        entry.record.domain = domainOf(i);
        entry.record.region = regionOf(entry.record.domain);
        entry.record.issuesTrials = true;
        m_entries.push_back(std::move(entry));
    }
    for (std::size_t i = 0; i < m_entries.size(); ++i) {
        start(i);
    }
    at(TrafficStart, [this] {
        scheduleHarmless();
        for (std::size_t i = 0; i < m_harmful.size(); ++i) {
            scheduleHarmful(i);
        }
    });
}

SuspectSimulation::~SuspectSimulation() = default;

MonotonicTime SuspectSimulation::clock() const
{
    return Origin + m_schedule.now();
}

void SuspectSimulation::at(microseconds time, const std::function<void()> &action)
{
    m_schedule.after(time - m_schedule.now(), action);
}

void SuspectSimulation::run()
{
    while (m_schedule.step(m_scenario.duration)) {
    }
}

microseconds SuspectSimulation::delay(const FailureDomainId &a, const FailureDomainId &b)
{
    const microseconds mean = a == b                       ? DelayInDomain
                              : regionOf(a) == regionOf(b) ? DelayInRegion
                                                           : DelayBetweenRegions;
    return scaled(mean, std::uniform_real_distribution<double>(1, 1.5)(m_random));
}

std::size_t SuspectSimulation::indexOf(const InstanceId &instance) const
{
    return std::stoul(instance.value().substr(1));
}

void SuspectSimulation::onEntry(std::size_t entry, std::uint64_t epoch,
                                const std::function<void()> &action)
{
    const Entry &it = m_entries[entry];
    if (it.epoch != epoch) {
        return;
    }
    if (m_schedule.now() < it.pausedUntil) {
        m_schedule.after(it.pausedUntil - m_schedule.now(),
                         [this, entry, epoch, action] { onEntry(entry, epoch, action); });
        return;
    }
    action();
}

bool SuspectSimulation::isConnected(std::size_t a, std::size_t b) const
{
    return m_cutOff.contains(a) == m_cutOff.contains(b);
}

void SuspectSimulation::deliver(std::size_t from, std::size_t to,
                                const std::function<void()> &action)
{
    if (!isConnected(from, to)) {
        return;
    }
    const std::uint64_t epoch = m_entries[to].epoch;
    m_schedule.after(delay(m_entries[from].record.domain, m_entries[to].record.domain),
                     [this, to, epoch, action] { onEntry(to, epoch, action); });
}

void SuspectSimulation::start(std::size_t entry)
{
    Entry &it = m_entries[entry];
    const std::uint64_t epoch = ++it.epoch;
    it.record.incarnation = Incarnation(epoch);
    it.process = std::make_unique<Process>(
            it.record, m_random(),
            [this, entry, epoch](const InstanceId &issuer, const TrialRequest &question,
                                 const RequestTrials::ReplySlot &replied) {
                ask(entry, epoch, issuer, question, replied);
            },
            [this, entry](const InstanceId &issuer, const SuspectRecord &suspect) {
                const std::size_t other = indexOf(issuer);
                deliver(entry, other, [this, other, suspect] {
                    m_entries[other].process->trials.onEnded(suspect, clock());
                });
            },
            [this, entry](const InstanceId &recipient, const std::vector<SuspectRecord> &records) {
                const std::size_t other = indexOf(recipient);
                deliver(entry, other, [this, entry, other, records] {
                    m_entries[other].process->news.receive(m_entries[entry].record.instance,
                                                           records, clock());
                });
            });
    std::vector<EntryRecord> records;
    for (const Entry &other : m_entries) {
        records.push_back(other.record);
    }
    // The registration of the new process is known to all.
    for (const Entry &other : m_entries) {
        if (other.process != nullptr) {
            other.process->membership.setRecords(records);
        }
    }
    it.process->membership.setServing(true);
    gossip(entry, epoch);
    flushNews(entry, epoch);
}

void SuspectSimulation::gossip(std::size_t entry, std::uint64_t epoch)
{
    onEntry(entry, epoch, [this, entry, epoch] {
        Process &mine = *m_entries[entry].process;
        for (const InstanceId &it : mine.membership.beginGossipRound()) {
            const std::size_t other = indexOf(it);
            deliver(entry, other,
                    [this, entry, epoch, other, states = mine.membership.memberStates(clock()),
                     suspects = mine.suspects.toGossip(false, clock()),
                     digest = mine.suspects.digest()] {
                        Process &theirs = *m_entries[other].process;
                        theirs.membership.merge(states, clock());
                        for (const SuspectRecord &record : suspects) {
                            theirs.suspects.merge(record, clock());
                        }
                        const bool isDifferent = digest != theirs.suspects.digest();
                        deliver(other, entry,
                                [this, entry, epoch,
                                 reply = theirs.membership.memberStates(clock()),
                                 records = theirs.suspects.toGossip(isDifferent, clock())] {
                                    if (m_entries[entry].epoch != epoch) {
                                        return;
                                    }
                                    Process &process = *m_entries[entry].process;
                                    process.membership.merge(reply, clock());
                                    for (const SuspectRecord &record : records) {
                                        process.suspects.merge(record, clock());
                                    }
                                });
                    });
        }
        mine.trials.removeUnused(clock());
        m_schedule.after(GossipPeriod, [this, entry, epoch] { gossip(entry, epoch); });
    });
}

void SuspectSimulation::flushNews(std::size_t entry, std::uint64_t epoch)
{
    onEntry(entry, epoch, [this, entry, epoch] {
        m_entries[entry].process->news.sendOwnChanges(clock());
        m_schedule.after(NewsPeriod, [this, entry, epoch] { flushNews(entry, epoch); });
    });
}

void SuspectSimulation::ask(std::size_t entry, std::uint64_t epoch, const InstanceId &issuer,
                            const TrialRequest &question, const RequestTrials::ReplySlot &replied)
{
    const std::shared_ptr<bool> hasEnded = std::make_shared<bool>(false);
    const auto end = [this, entry, epoch, hasEnded,
                      replied](const std::optional<TrialReply> &reply) {
        onEntry(entry, epoch, [this, hasEnded, replied, reply] {
            if (!std::exchange(*hasEnded, true)) {
                replied(reply.has_value() ? &*reply : nullptr, clock());
            }
        });
    };
    m_schedule.after(RequestTrials::AskTimeout, [end] { end(std::nullopt); });
    const std::size_t other = indexOf(issuer);
    deliver(entry, other, [this, entry, other, question, end] {
        const TrialReply reply = m_entries[other].process->trials.answer(question, clock());
        deliver(other, entry, [end, reply] { end(reply); });
    });
}

void SuspectSimulation::restart(std::size_t entry)
{
    m_entries[entry].troubledUntil = std::max(m_entries[entry].troubledUntil, m_schedule.now());
    start(entry);
}

void SuspectSimulation::pause(std::size_t entry, microseconds duration)
{
    Entry &it = m_entries[entry];
    it.pausedUntil = std::max(it.pausedUntil, m_schedule.now() + duration);
    it.troubledUntil = std::max(it.troubledUntil, it.pausedUntil);
}

void SuspectSimulation::cut(const std::set<std::size_t> &entries, microseconds duration)
{
    m_cutOff = entries;
    for (const std::size_t it : entries) {
        m_entries[it].troubledUntil =
                std::max(m_entries[it].troubledUntil, m_schedule.now() + duration);
    }
    m_schedule.after(duration, [this] { m_cutOff.clear(); });
}

void SuspectSimulation::scheduleHarmless()
{
    const double gap =
            std::exponential_distribution<double>(m_scenario.requestsPerSecond)(m_random);
    m_schedule.after(microseconds(static_cast<std::int64_t>(gap * 1e6)), [this] {
        const RequestPtr request = std::make_shared<Request>();
        request->id = ++m_requestCount;
        request->fingerprint = fingerprintOf({ "harmless", std::to_string(request->id) });
        request->isRepeatable = m_random() % 2 == 0;
        arrive(request);
        scheduleHarmless();
    });
}

void SuspectSimulation::scheduleHarmful(std::size_t index)
{
    m_schedule.after(m_scenario.harmfulPeriod, [this, index] {
        const RequestPtr request = std::make_shared<Request>();
        request->id = ++m_requestCount;
        request->fingerprint = fingerprintOf({ "harmful", std::to_string(index) });
        request->isRepeatable = m_scenario.areHarmfulRepeatable;
        request->harmful = index;
        arrive(request);
        scheduleHarmful(index);
    });
}

void SuspectSimulation::arrive(const RequestPtr &request)
{
    const std::size_t entry = m_random() % m_entries.size();
    request->arrivedAt = m_schedule.now();
    onEntry(entry, m_entries[entry].epoch, [this, entry, request] { dispatch(entry, request); });
}

void SuspectSimulation::dispatch(std::size_t entry, const RequestPtr &request)
{
    Process &process = *m_entries[entry].process;
    if (m_scenario.hasTrials && !request->hasTrial
        && process.suspects.isSuspect(request->fingerprint, clock())) {
        process.trials.obtain(ServiceId("catalog"), request->fingerprint,
                              std::chrono::ceil<milliseconds>(
                                      RequestTimeout - (m_schedule.now() - request->arrivedAt)),
                              clock(), [this, entry, request](bool isGranted, milliseconds) {
                                  if (isGranted) {
                                      request->hasTrial = true;
                                      send(entry, request);
                                  } else {
                                      end(request, false);
                                  }
                              });
        return;
    }
    send(entry, request);
}

void SuspectSimulation::send(std::size_t entry, const RequestPtr &request)
{
    Process &process = *m_entries[entry].process;
    std::vector<std::size_t> candidates;
    for (std::size_t i = 0; i < m_targets.size(); ++i) {
        const auto unreachable = process.unreachableUntil.find(i);
        const bool isSkipped = unreachable != process.unreachableUntil.end()
                               && m_schedule.now() < unreachable->second;
        if (!isSkipped && !request->tried.contains(i)) {
            candidates.push_back(i);
        }
    }
    if (candidates.empty()
        || m_schedule.now() - request->arrivedAt + MinRetryTime > RequestTimeout) {
        endTrial(entry, request);
        end(request, false);
        return;
    }
    const std::size_t target = candidates[m_random() % candidates.size()];
    request->tried.insert(target);
    const Job job{ request, entry, m_entries[entry].epoch };
    m_schedule.after(delay(m_entries[entry].record.domain, m_targets[target].domain),
                     [this, target, job] { arriveAtTarget(target, job); });
}

void SuspectSimulation::arriveAtTarget(std::size_t target, const Job &job)
{
    Target &it = m_targets[target];
    const microseconds back = delay(m_entries[job.entry].record.domain, it.domain);
    if (!it.isUp || it.jobs.size() >= std::size_t(m_scenario.slotsPerTarget) + TargetQueue) {
        const bool isRefusal = !it.isUp;
        m_schedule.after(back, [this, job, target, isRefusal] {
            onEntry(job.entry, job.epoch, [this, job, target, isRefusal] {
                if (isRefusal) {
                    m_entries[job.entry].process->unreachableUntil[target] =
                            m_schedule.now() + UnreachableTime;
                }
                // Not run, so that another target is tried at once.
                send(job.entry, job.request);
            });
        });
        return;
    }
    ++job.request->sends;
    if (job.request->harmful.has_value()) {
        HarmfulFigures &figures = m_harmful[*job.request->harmful];
        const Entry &entry = m_entries[job.entry];
        const bool isInTouch = entry.troubledUntil == microseconds(0)
                               || job.request->arrivedAt - entry.troubledUntil >= ContactTime;
        const bool isLate =
                figures.ended >= 3 && job.request->arrivedAt > figures.thirdEndingAt + ContactTime;
        if (isInTouch && isLate && m_lateAttempts.insert(job.request->id).second) {
            ++figures.lateAttempts;
        }
    }
    it.jobs.push_back(job);
    runNext(target);
}

void SuspectSimulation::runNext(std::size_t target)
{
    Target &it = m_targets[target];
    if (it.running >= m_scenario.slotsPerTarget || it.jobs.size() <= std::size_t(it.running)) {
        return;
    }
    const Job job = it.jobs[std::size_t(it.running)];
    ++it.running;
    const std::uint64_t process = it.start;
    if (job.request->harmful.has_value()) {
        m_schedule.after(HarmfulWork, [this, target, job, process] {
            if (m_targets[target].isUp && m_targets[target].start == process) {
                HarmfulFigures &figures = m_harmful[*job.request->harmful];
                if (++figures.ended == 3) {
                    figures.thirdEndingAt = m_schedule.now();
                }
                endTarget(target);
            }
        });
        return;
    }
    const microseconds work{ std::uniform_int_distribution<std::int64_t>(50'000,
                                                                         350'000)(m_random) };
    m_schedule.after(work, [this, target, job, process] {
        Target &state = m_targets[target];
        if (!state.isUp || state.start != process) {
            return;
        }
        std::erase_if(state.jobs, [&job](const Job &it) { return it.request == job.request; });
        --state.running;
        m_schedule.after(delay(m_entries[job.entry].record.domain, state.domain), [this, job] {
            onEntry(job.entry, job.epoch, [this, job] { onAnswer(job); });
        });
        runNext(target);
    });
}

void SuspectSimulation::endTarget(std::size_t target)
{
    Target &it = m_targets[target];
    ++m_endedTargets;
    it.isUp = false;
    it.running = 0;
    const std::uint64_t process = it.start;
    for (const Job &job : std::exchange(it.jobs, {})) {
        m_schedule.after(delay(m_entries[job.entry].record.domain, it.domain),
                         [this, job, target, process] {
                             onEntry(job.entry, job.epoch, [this, job, target, process] {
                                 onLostConnection(job, target, process);
                             });
                         });
    }
    m_schedule.after(m_scenario.targetRestartTime, [this, target] {
        m_targets[target].isUp = true;
        ++m_targets[target].start;
    });
}

void SuspectSimulation::onAnswer(const Job &job)
{
    m_entries[job.entry].process->suspects.onCompleted(job.request->fingerprint, clock());
    endTrial(job.entry, job.request);
    end(job.request, m_schedule.now() - job.request->arrivedAt <= RequestTimeout);
}

void SuspectSimulation::onLostConnection(const Job &job, std::size_t target, std::uint64_t start)
{
    // The check of the connection takes a round trip; a target that is up again accepts.
    const microseconds oneWay = delay(m_entries[job.entry].record.domain, m_targets[target].domain);
    m_schedule.after(oneWay, [this, job, target, start, oneWay] {
        const bool isRefused = !m_targets[target].isUp;
        m_schedule.after(oneWay, [this, job, target, start, isRefused] {
            onEntry(job.entry, job.epoch, [this, job, target, start, isRefused] {
                if (isRefused) {
                    m_entries[job.entry].process->suspects.onTargetEnded(
                            job.request->fingerprint,
                            endingOf(TargetId("t" + std::to_string(target)), start), clock());
                    m_entries[job.entry].process->unreachableUntil[target] =
                            m_schedule.now() + UnreachableTime;
                }
                retry(job);
            });
        });
    });
}

void SuspectSimulation::retry(const Job &job)
{
    endTrial(job.entry, job.request);
    if (job.request->isRepeatable && job.request->sends < MaxAttempts) {
        dispatch(job.entry, job.request);
    } else {
        end(job.request, false);
    }
}

void SuspectSimulation::endTrial(std::size_t entry, const RequestPtr &request)
{
    if (std::exchange(request->hasTrial, false)) {
        m_entries[entry].process->trials.end(ServiceId("catalog"), request->fingerprint, clock());
    }
}

void SuspectSimulation::end(const RequestPtr &request, bool isAnswered)
{
    if (!std::exchange(request->hasEnded, true) && !request->harmful.has_value()) {
        m_outcomes.push_back(Outcome{ request->arrivedAt, isAnswered });
    }
}

double SuspectSimulation::answeredRatio(microseconds from) const
{
    double total = 0;
    double answered = 0;
    for (const Outcome &it : m_outcomes) {
        if (it.arrivedAt >= from) {
            ++total;
            answered += it.isAnswered ? 1 : 0;
        }
    }
    return total > 0 ? answered / total : 0;
}

} // namespace Tarragon
