#include "LimitSimulation.h"

#include "base/Digest.h"
#include "routing/RetryLimits.h"

#include <algorithm>
#include <utility>

namespace Tarragon {

namespace {

constexpr MonotonicTime Origin{ seconds(1'000) };
constexpr int DomainCount = 6;
constexpr int RegionCount = 3;
constexpr microseconds DelayInDomain{ 1'000 };
constexpr microseconds DelayInRegion{ 3'500 };
constexpr microseconds DelayBetweenRegions{ 20'000 };
/// Fraction of a delay by which it varies.
constexpr double DelayVariation = 0.5;
constexpr microseconds GossipPeriod{ 400'000 };
/// Period within which changes of registrations of entries and targets reach an entry.
constexpr microseconds RegistryPeriod{ 1'000'000 };
constexpr microseconds RequestTimeout{ 1'200'000 };
/// As in RoutedRequest.
constexpr int MaxDeniedPermits = 2;
/// Number of requests that wait at a target whose slots are occupied.
constexpr std::size_t TargetQueue = 4;

std::string numbered(const char *prefix, std::size_t number)
{
    return prefix + std::to_string(number);
}

GatewaySettings settingsOf(const InstanceId &instance, const FailureDomainId &domain,
                           const std::map<FailureDomainId, RegionId> &regions)
{
    GatewaySettings settings;
    settings.instance = instance;
    settings.domain = domain;
    settings.region = regions.at(domain);
    settings.regions = regions;
    return settings;
}

} // namespace

LimitSimulation::Process::Process(const GatewaySettings &settings, EntryRecord record,
                                  std::uint64_t seed, const TargetPermits::AskSlot &ask)
    : membership(std::move(record), seed)
    , state(settings, settings.bounds)
    , permits(membership, state.limits(), ask)
{}

LimitSimulation::LimitSimulation(const LimitScenario &scenario)
    : m_scenario(scenario)
    , m_random(scenario.seed)
{
    for (int i = 0; i < DomainCount; ++i) {
        m_regionOfDomain.emplace(FailureDomainId(numbered("d", std::size_t(i))),
                                 RegionId(numbered("r", std::size_t(i % RegionCount))));
    }
    m_service.id = ServiceId("catalog");
    m_service.coldRequestsPerSecond = scenario.coldRequestsPerSecond;
    m_route.name = RouteName("read");
    m_route.host = "stand.example";
    m_route.pathPrefix = "/read/";
    m_route.isIdempotent = true;
    m_route.timeout = std::chrono::duration_cast<milliseconds>(RequestTimeout);
    m_route.latencyGoal = milliseconds(250);
    m_route.weightedServices = { WeightedService{ m_service.id, 1 } };
    m_route.maxAttempts = 2;
    m_route.hasObjectAffinity = scenario.objects > 0;
    for (int i = 0; i < scenario.targets; ++i) {
        Target target;
        target.registration.id = TargetId(numbered("t", std::size_t(i)));
        target.registration.service = m_service.id;
        target.registration.address = Endpoint{ "127.0.0.1", std::uint16_t(10'000 + i) };
        target.registration.domain = FailureDomainId(numbered("d", std::size_t(i % DomainCount)));
        target.registration.slots = SlotCount{ scenario.slotsPerTarget };
        target.registration.startTimeMs = 1;
        target.isLimited = i < scenario.limitedTargets;
        m_targetIndex[target.registration.id] = m_targets.size();
        m_targets.push_back(std::move(target));
    }
    for (int i = 0; i < scenario.entries; ++i) {
        Entry entry;
        entry.id = InstanceId(numbered("e", std::size_t(i)));
        entry.domain = FailureDomainId(numbered("d", std::size_t(i % DomainCount)));
        entry.region = m_regionOfDomain.at(entry.domain);
        m_entries.push_back(std::move(entry));
    }
    for (std::size_t i = 0; i < m_entries.size(); ++i) {
        start(i);
    }
    scheduleArrival();
    noteLimits();
}

LimitSimulation::~LimitSimulation() = default;

MonotonicTime LimitSimulation::clock() const
{
    return Origin + m_schedule.now();
}

void LimitSimulation::at(microseconds time, const std::function<void()> &action)
{
    m_schedule.after(time - m_schedule.now(), action);
}

void LimitSimulation::run()
{
    while (m_schedule.step(m_scenario.duration)) {
    }
}

microseconds LimitSimulation::delayBetween(const FailureDomainId &a, const FailureDomainId &b)
{
    const microseconds mean = a == b ? DelayInDomain
                              : m_regionOfDomain.at(a) == m_regionOfDomain.at(b)
                                      ? DelayInRegion
                                      : DelayBetweenRegions;
    return scaled(mean, 1 + DelayVariation * uniform());
}

void LimitSimulation::onEntry(std::size_t entry, std::uint64_t epoch,
                              const std::function<void()> &action)
{
    const Entry &it = m_entries[entry];
    if (it.epoch != epoch || it.process == nullptr) {
        return;
    }
    if (m_schedule.now() < it.pausedUntil) {
        m_schedule.after(it.pausedUntil - m_schedule.now(),
                         [this, entry, epoch, action] { onEntry(entry, epoch, action); });
        return;
    }
    action();
}

bool LimitSimulation::isConnected(std::size_t a, std::size_t b) const
{
    return m_cutOff.contains(a) == m_cutOff.contains(b);
}

void LimitSimulation::start(std::size_t entry)
{
    Entry &it = m_entries[entry];
    const std::uint64_t epoch = ++it.epoch;
    EntryRecord record;
    record.instance = it.id;
    record.domain = it.domain;
    record.region = it.region;
    record.incarnation = Incarnation(epoch);
    record.front = Endpoint{ "127.0.0.1", std::uint16_t(20'000 + entry) };
    record.rpc = Endpoint{ "127.0.0.1", std::uint16_t(30'000 + entry) };
    record.issuesPermits = !isOldBuild(entry);
    record.issuesColdPermits = !isOldBuild(entry);
    m_registrations[it.id] = record;
    it.process = std::make_unique<Process>(
            settingsOf(it.id, it.domain, m_regionOfDomain), record, m_random(),
            [this, entry, epoch](const InstanceId &issuer, const PermitRequest &question,
                                 const TargetPermits::ReplySlot &replied) {
                ask(entry, epoch, issuer, question, replied);
            });
    RouteTable table;
    table.version = RouteVersion(1);
    table.routes = { m_route };
    table.services.emplace(m_service.id, m_service);
    it.process->state.adopt(std::move(table));
    it.process->membership.setServing(true);
    refreshTargets();
    m_schedule.after(scaled(GossipPeriod, uniform()),
                     [this, entry, epoch] { gossip(entry, epoch); });
    m_schedule.after(microseconds(10'000), [this, entry, epoch] { refreshRecords(entry, epoch); });
}

void LimitSimulation::kill(std::size_t entry)
{
    ++m_entries[entry].epoch;
    m_entries[entry].process.reset();
}

void LimitSimulation::stop(std::size_t entry)
{
    m_registrations.erase(m_entries[entry].id);
    if (m_entries[entry].process == nullptr) {
        return;
    }
    m_entries[entry].process->isServing = false;
    m_entries[entry].process->membership.setServing(false);
    const std::uint64_t epoch = m_entries[entry].epoch;
    m_schedule.after(RequestTimeout, [this, entry, epoch] {
        if (m_entries[entry].epoch == epoch) {
            kill(entry);
        }
    });
}

void LimitSimulation::pause(std::size_t entry, microseconds duration)
{
    m_entries[entry].pausedUntil = m_schedule.now() + duration;
}

void LimitSimulation::restartTarget(std::size_t target)
{
    ++m_targets[target].registration.startTimeMs;
    m_targets[target].running = 0;
    m_targets[target].waiting.clear();
    m_schedule.after(scaled(RegistryPeriod, uniform()), [this] { refreshTargets(); });
}

void LimitSimulation::replaceTarget(std::size_t target)
{
    Target fresh;
    fresh.registration = m_targets[target].registration;
    fresh.registration.id = TargetId(fresh.registration.id.value() + "-new");
    m_targetIndex[fresh.registration.id] = m_targets.size();
    m_targets.push_back(std::move(fresh));
    m_targets[target].registration.service = ServiceId("gone");
    m_schedule.after(scaled(RegistryPeriod, uniform()), [this] { refreshTargets(); });
}

void LimitSimulation::makeCold(std::size_t target, microseconds duration)
{
    m_targets[target].registration.coldRemaining =
            std::chrono::duration_cast<milliseconds>(duration);
    m_targets[target].coldUntil = m_schedule.now() + duration;
    refreshTargets();
}

void LimitSimulation::setEvacuated(const std::set<FailureDomainId> &domains, microseconds maxDelay)
{
    for (std::size_t i = 0; i < m_entries.size(); ++i) {
        const std::uint64_t epoch = m_entries[i].epoch;
        m_schedule.after(scaled(maxDelay, uniform()), [this, i, epoch, domains] {
            onEntry(i, epoch, [this, i, domains] {
                GatewayState &state = m_entries[i].process->state;
                state.registry().setEvacuated(domains, clock());
                state.refreshTargets(clock());
            });
        });
    }
}

void LimitSimulation::refreshTargets()
{
    std::vector<DiscoveredTarget> registrations;
    for (const Target &it : m_targets) {
        if (it.registration.service == m_service.id) {
            registrations.push_back(it.registration);
        }
    }
    for (std::size_t i = 0; i < m_entries.size(); ++i) {
        const std::uint64_t epoch = m_entries[i].epoch;
        m_schedule.after(scaled(RegistryPeriod, 0.5 * uniform()), [this, i, epoch, registrations] {
            onEntry(i, epoch, [this, i, registrations] {
                GatewayState &state = m_entries[i].process->state;
                state.registry().replaceAll(registrations, clock());
                state.refreshTargets(clock());
            });
        });
    }
}

std::vector<EntryRecord> LimitSimulation::records() const
{
    std::vector<EntryRecord> records;
    for (const auto &[id, record] : m_registrations) {
        records.push_back(record);
    }
    return records;
}

void LimitSimulation::refreshRecords(std::size_t entry, std::uint64_t epoch)
{
    onEntry(entry, epoch, [this, entry, epoch] {
        Process &process = *m_entries[entry].process;
        process.membership.setRecords(records());
        process.state.setEntryCount(process.membership.entryCount());
        m_schedule.after(scaled(RegistryPeriod, 0.5 + 0.5 * uniform()),
                         [this, entry, epoch] { refreshRecords(entry, epoch); });
    });
}

void LimitSimulation::gossip(std::size_t entry, std::uint64_t epoch)
{
    onEntry(entry, epoch, [this, entry, epoch] {
        EntryMembership &own = m_entries[entry].process->membership;
        for (const InstanceId &it : own.beginGossipRound()) {
            const std::size_t other = std::stoul(it.value().substr(1));
            if (!isConnected(entry, other)) {
                continue;
            }
            const std::vector<GossipMemberState> states = own.memberStates(clock());
            const std::vector<TargetLimitChange> limits = limitsFrom(entry);
            const std::uint64_t otherEpoch = m_entries[other].epoch;
            const microseconds delay =
                    delayBetween(m_entries[entry].domain, m_entries[other].domain);
            m_schedule.after(delay, [this, entry, epoch, other, otherEpoch, states, limits, delay] {
                onEntry(other, otherEpoch, [this, entry, epoch, other, states, limits, delay] {
                    EntryMembership &theirs = m_entries[other].process->membership;
                    theirs.merge(states, clock());
                    mergeLimits(other, limits);
                    const std::vector<GossipMemberState> reply = theirs.memberStates(clock());
                    const std::vector<TargetLimitChange> replyLimits = limitsFrom(other);
                    m_schedule.after(delay, [this, entry, epoch, reply, replyLimits] {
                        onEntry(entry, epoch, [this, entry, reply, replyLimits] {
                            m_entries[entry].process->membership.merge(reply, clock());
                            mergeLimits(entry, replyLimits);
                        });
                    });
                });
            });
        }
        m_schedule.after(GossipPeriod, [this, entry, epoch] { gossip(entry, epoch); });
    });
}

std::vector<TargetLimitChange> LimitSimulation::limitsFrom(std::size_t entry)
{
    return isOldBuild(entry) ? std::vector<TargetLimitChange>()
                             : m_entries[entry].process->state.limits().recentChanges(clock());
}

void LimitSimulation::mergeLimits(std::size_t entry, const std::vector<TargetLimitChange> &limits)
{
    if (isOldBuild(entry)) {
        return;
    }
    for (const TargetLimitChange &it : limits) {
        m_entries[entry].process->state.limits().merge(it.target, it.limit, clock());
    }
}

void LimitSimulation::scheduleArrival()
{
    const double gap =
            std::exponential_distribution<double>(m_scenario.requestsPerSecond)(m_random);
    m_schedule.after(microseconds(std::int64_t(gap * 1e6)), [this] {
        const std::size_t busy = std::max<std::size_t>(1, m_entries.size() / 3);
        std::size_t entry =
                uniform() < m_scenario.skew
                        ? m_random() % busy
                        : busy + m_random() % std::max<std::size_t>(1, m_entries.size() - busy);
        // Callers turn to another entry when theirs does not accept requests.
        for (std::size_t i = 0; i < m_entries.size(); ++i) {
            entry %= m_entries.size();
            const Entry &it = m_entries[entry];
            if (it.process != nullptr && it.process->isServing) {
                break;
            }
            ++entry;
        }
        entry %= m_entries.size();
        const RequestPtr request = std::make_shared<Request>();
        request->id = RequestId(numbered("q", ++m_requestCount));
        request->object =
                m_scenario.objects > 0 ? m_random() % std::uint64_t(m_scenario.objects) : 0;
        onEntry(entry, m_entries[entry].epoch, [this, entry, request] {
            request->arrivedAt = m_schedule.now();
            m_entries[entry].process->state.retryBudget(m_service.id).onRequest(clock());
            dispatch(entry, request);
        });
        scheduleArrival();
    });
}

void LimitSimulation::dispatch(std::size_t entry, const RequestPtr &request)
{
    Process &process = *m_entries[entry].process;
    PlacementQuery query;
    query.route = process.state.table()->find(m_route.host, m_route.pathPrefix);
    query.requestHash = stableHash(request->id.value());
    if (m_route.hasObjectAffinity) {
        query.objectHash = stableHash(std::to_string(request->object));
    }
    query.triedTargets = request->tried;
    query.mayNeedPermit = request->deniedPermits < MaxDeniedPermits;
    query.timeLeft = RequestTimeout - (m_schedule.now() - request->arrivedAt);
    const Placement placement = process.state.dispatcher(m_service.id)->place(query, clock());
    if (placement.needsPermit) {
        obtainPermit(entry, request, placement);
    } else if (placement.target.has_value()) {
        send(entry, request, placement);
    } else if (request->hasFallback) {
        ++m_callers.failed;
    } else {
        refuse(request, placement.reason);
    }
}

void LimitSimulation::obtainPermit(std::size_t entry, const RequestPtr &request,
                                   const Placement &placement)
{
    Process &process = *m_entries[entry].process;
    ServiceDispatcher &dispatcher = *process.state.dispatcher(m_service.id);
    process.permits.obtain(
            dispatcher.findTarget(*placement.target)->registration, placement.coldRate, clock(),
            [this, entry, request, placement, &dispatcher](bool isGranted) {
                if (isGranted && dispatcher.stillAccepts(*placement.target, clock())) {
                    send(entry, request, placement);
                    return;
                }
                ++request->deniedPermits;
                dispatch(entry, request);
            });
}

void LimitSimulation::ask(std::size_t entry, std::uint64_t epoch, const InstanceId &issuer,
                          const PermitRequest &question, const TargetPermits::ReplySlot &replied)
{
    const std::size_t other = std::stoul(issuer.value().substr(1));
    const std::shared_ptr<bool> hasEnded = std::make_shared<bool>(false);
    const auto end = [this, entry, epoch, hasEnded,
                      replied](const std::optional<PermitReply> &reply) {
        onEntry(entry, epoch, [this, hasEnded, replied, reply] {
            if (!std::exchange(*hasEnded, true)) {
                replied(reply.has_value() ? &*reply : nullptr, clock());
            }
        });
    };
    m_schedule.after(TargetPermits::AskTimeout, [end] { end(std::nullopt); });
    const microseconds delay = delayBetween(m_entries[entry].domain, m_entries[other].domain);
    const std::uint64_t otherEpoch = m_entries[other].epoch;
    m_schedule.after(delay, [this, entry, other, otherEpoch, question, delay, end] {
        onEntry(other, otherEpoch, [this, entry, other, question, delay, end] {
            if (!isConnected(entry, other)) {
                return;
            }
            const PermitReply reply = m_entries[other].process->permits.answer(question, clock());
            m_schedule.after(delay, [end, reply] { end(reply); });
        });
    });
}

void LimitSimulation::refuse(const RequestPtr &request, RefusalReason reason)
{
    ++m_callers.refused;
    ++m_callers.refusalReasons[reason];
    m_callers.untrueRefusals += request->hasRun ? 1 : 0;
    m_callers.slowestRefusal =
            std::max(m_callers.slowestRefusal, m_schedule.now() - request->arrivedAt);
}

void LimitSimulation::send(std::size_t entry, const RequestPtr &request, const Placement &placement)
{
    Process &process = *m_entries[entry].process;
    if (request->sends == 0) {
        m_callers.slowestSend =
                std::max(m_callers.slowestSend, m_schedule.now() - request->arrivedAt);
    }
    ++request->sends;
    request->tried.insert(*placement.target);
    process.state.dispatcher(m_service.id)->onSent(*placement.target, clock());
    const KnownTarget *known =
            process.state.dispatcher(m_service.id)->findTarget(*placement.target);
    const Job job{ request,
                   entry,
                   m_entries[entry].epoch,
                   placement,
                   known->registration.startTimeMs,
                   clock() < known->coldUntil,
                   m_schedule.now() };
    m_schedule.after(delayBetween(m_entries[entry].domain, known->registration.domain),
                     [this, job] { arriveAtTarget(job); });
}

StatedLimit LimitSimulation::statedBy(const Target &target) const
{
    return target.isLimited ? m_scenario.statedAt(m_schedule.now()) : StatedLimit{};
}

void LimitSimulation::noteLimits()
{
    for (Target &it : m_targets) {
        const StatedLimit stated = statedBy(it);
        if (!stated.text.empty() || it.lastStated.has_value()) {
            if (stated != it.lastStated) {
                it.audit.setLimit(m_schedule.now(), stated.perSecond);
                it.lastStated = stated;
            }
        }
    }
    m_schedule.after(microseconds(50'000), [this] { noteLimits(); });
}

void LimitSimulation::arriveAtTarget(const Job &job)
{
    const std::size_t index = m_targetIndex.at(*job.placement.target);
    Target &target = m_targets[index];
    if (target.registration.service != m_service.id) {
        // Another target has the address.
        respond(index, job, 421, false);
        return;
    }
    const Entry &entry = m_entries[job.entry];
    bool isTold = false;
    if (entry.process != nullptr && entry.epoch == job.epoch) {
        const auto told = entry.process->toldAt.find(target.registration.id);
        isTold = told != entry.process->toldAt.end()
                 && told->second + LimitAudit::ReactionTime <= m_schedule.now()
                 && !isOldBuild(job.entry);
    }
    target.audit.addArrival(m_schedule.now(), isTold);
    if (job.isToCold) {
        target.coldArrivals.push_back(m_schedule.now());
    }
    if (m_schedule.now() < target.coldUntil) {
        target.arrivalsWhileCold.push_back(m_schedule.now());
    }
    if (target.running < m_scenario.slotsPerTarget) {
        startJob(index, job);
    } else if (target.waiting.size() < TargetQueue) {
        target.waiting.push_back(job);
    } else {
        respond(index, job, 503, false);
    }
}

void LimitSimulation::startJob(std::size_t target, const Job &job)
{
    ++m_targets[target].running;
    job.request->hasRun = true;
    const std::uint64_t startTime = m_targets[target].registration.startTimeMs;
    m_schedule.after(scaled(m_scenario.work, 0.5 + uniform()), [this, target, job, startTime] {
        Target &it = m_targets[target];
        if (it.registration.startTimeMs != startTime) {
            return;
        }
        --it.running;
        const bool hasFailed = it.isLimited && uniform() < m_scenario.failureRatio;
        respond(target, job, hasFailed ? 500 : 200, true);
        if (!it.waiting.empty()) {
            const Job next = it.waiting.front();
            it.waiting.pop_front();
            startJob(target, next);
        }
    });
}

void LimitSimulation::respond(std::size_t target, const Job &job, int status, bool isExecuted)
{
    const Target &it = m_targets[target];
    HttpResponseHead head;
    head.status = status;
    head.headers.add("Attempt-Id", job.request->id.value());
    if (isExecuted) {
        head.headers.add("Response-Seal", "s");
    } else {
        head.headers.add("Not-Executed", "1");
    }
    head.headers.add("Server-Load", std::to_string(it.running) + ","
                                            + std::to_string(it.waiting.size()) + ","
                                            + std::to_string(m_scenario.slotsPerTarget));
    const StatedLimit stated = status == 421 ? StatedLimit{} : statedBy(it);
    if (!stated.text.empty()) {
        head.headers.add("Server-Limit", stated.text);
    }
    const bool isTelling = stated.perSecond.has_value();
    const Platform::TargetResponse response = Platform::decodeTargetResponse(head);
    m_schedule.after(delayBetween(m_entries[job.entry].domain, it.registration.domain),
                     [this, job, response, isTelling] {
                         onEntry(job.entry, job.epoch, [this, job, response, isTelling] {
                             if (isTelling) {
                                 m_entries[job.entry].process->toldAt.try_emplace(
                                         *job.placement.target, m_schedule.now());
                             }
                             onResponse(job, response);
                         });
                     });
}

void LimitSimulation::onResponse(const Job &job, const Platform::TargetResponse &response)
{
    ServiceDispatcher &dispatcher = *m_entries[job.entry].process->state.dispatcher(m_service.id);
    const TargetId &target = *job.placement.target;
    const SendOutcome outcome = response.isMisdirected   ? SendOutcome::WrongTarget
                                : response.isNotExecuted ? SendOutcome::Declined
                                : response.status >= 500 ? SendOutcome::Failed
                                                         : SendOutcome::Answered;
    if (outcome != SendOutcome::WrongTarget) {
        dispatcher.onReport(target, *response.load, clock());
        if (!response.isLimitMalformed && !isOldBuild(job.entry)) {
            dispatcher.onLimitStated(target, job.targetStartMs, response.limit, clock());
        }
    }
    dispatcher.onEnded(target, m_route.name, outcome, m_schedule.now() - job.sentAt,
                       job.placement.expectedWait > microseconds(0), clock());
    if (outcome == SendOutcome::Answered) {
        ++m_callers.served;
    } else {
        retry(job.entry, job.request, outcome == SendOutcome::Failed);
    }
}

void LimitSimulation::retry(std::size_t entry, const RequestPtr &request, bool hasFailed)
{
    request->hasFallback = request->hasFallback || hasFailed;
    const bool mayRetry =
            request->sends < m_route.maxAttempts
            && m_entries[entry].process->state.retryBudget(m_service.id).tryRetry(clock());
    if (mayRetry) {
        dispatch(entry, request);
    } else if (request->hasFallback) {
        ++m_callers.failed;
    } else {
        // Its targets were full.
        refuse(request, RefusalReason::Busy);
    }
}

} // namespace Tarragon
