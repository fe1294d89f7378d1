#include "model/ModelRun.h"

#include "base/Digest.h"
#include "model/LeastLoadedPolicy.h"
#include "routing/RetryLimits.h"

#include <algorithm>
#include <utility>

namespace Tarragon {

namespace {

/// Time on the entries' clocks at the start of the load. Not 0, as the monotonic clock of a real
/// process does not start at 0 either.
constexpr seconds ClockStart{ 1'000 };
constexpr microseconds WindowLength{ 1'000'000 };
/// Time after the end of traffic that running requests get to complete.
constexpr milliseconds CompletionTime{ 20'000 };
/// Retry limits as the platform usually sets them, for all entries together.
constexpr double AllowedRetryRatio = 0.2;
constexpr double AllowedExtraRetries = 50;
/// Traffic never stops completely, because a change of the traffic factor only takes effect with
/// the next arrival.
constexpr double MinTrafficFactor = 0.001;

bool hasDuration(FaultKind kind)
{
    return kind != FaultKind::Forget && kind != FaultKind::Restart;
}

} // namespace

template<PlacementPolicy Policy>
ModelRun<Policy>::ModelRun(const LoadPlan &plan, std::uint64_t seed, MakePolicy makePolicy)
    : m_plan(plan)
    , m_seed(seed)
    , m_makePolicy(std::move(makePolicy))
    , m_random(seed)
{
    for (const ModelRoute &it : plan.routes) {
        Route route;
        route.name = it.name;
        route.isIdempotent = it.isRepeatable;
        route.timeout = it.deadline;
        route.latencyGoal = it.goal;
        route.maxAttempts = it.maxAttempts;
        route.hasObjectAffinity = it.objects > 0;
        route.priority = it.priority;
        route.weightedServices = { WeightedService{ it.service, 1 } };
        m_routes[it.name] = route;
    }
    makeTargets();
    makeEntries();
}

template<PlacementPolicy Policy>
void ModelRun<Policy>::makeTargets()
{
    for (const auto &[id, service] : m_plan.services) {
        for (const auto &[domain, count] : service.targets) {
            for (int i = 0; i < count; ++i) {
                DiscoveredTarget entry;
                entry.id = TargetId(id.value() + "-" + domain.value() + "-" + std::to_string(i));
                entry.service = id;
                entry.domain = domain;
                entry.slots = service.slots;
                m_registeredTargets[entry.id].registration = entry;
                m_targets[entry.id] =
                        std::make_unique<ModelTarget>(m_schedule, service, entry, m_random());
            }
        }
    }
}

template<PlacementPolicy Policy>
void ModelRun<Policy>::makeEntries()
{
    for (const ModelDomain &it : m_plan.domains) {
        for (int i = 0; i < it.entries; ++i) {
            m_entries.push_back(std::make_unique<Entry>());
            m_entries.back()->domain = &it;
        }
    }
    for (const std::unique_ptr<Entry> &it : m_entries) {
        startEntry(*it);
    }
}

template<PlacementPolicy Policy>
void ModelRun<Policy>::startEntry(Entry &entry)
{
    ++entry.incarnation;
    entry.policies.clear();
    entry.budgets.clear();
    EntryLocality place{ entry.domain->id, entry.domain->region, {} };
    for (const ModelDomain &it : m_plan.domains) {
        place.regionOfDomain[it.id] = it.region;
    }
    const RetryLimits limits =
            retryLimits(AllowedRetryRatio, AllowedExtraRetries, m_entries.size());
    for (const auto &[id, service] : m_plan.services) {
        HostedService hosted;
        hosted.id = id;
        std::unique_ptr<Policy> policy = m_makePolicy(place, hosted);
        policy->setEntryCount(m_entries.size());
        policy->setTargets(m_registeredTargets);
        entry.policies[id] = std::move(policy);
        entry.budgets.emplace(id, RetryBudget(limits.retryRatio, limits.minRetriesPerWindow));
    }
}

template<PlacementPolicy Policy>
void ModelRun<Policy>::publishTargets()
{
    for (const std::unique_ptr<Entry> &entry : m_entries) {
        for (const auto &[id, policy] : entry->policies) {
            policy->setTargets(m_registeredTargets);
        }
    }
}

template<PlacementPolicy Policy>
void ModelRun<Policy>::scheduleFault(const InjectedFault &fault)
{
    m_schedule.after(fault.at, [this, &fault] { applyFault(fault, true); });
    if (hasDuration(fault.kind)) {
        m_schedule.after(fault.at + fault.duration, [this, &fault] { applyFault(fault, false); });
    }
}

template<PlacementPolicy Policy>
void ModelRun<Policy>::applyFault(const InjectedFault &fault, bool begins)
{
    if (fault.kind == FaultKind::Burst) {
        m_trafficFactor *= begins ? fault.factor : 1 / fault.factor;
        return;
    }
    if (fault.kind == FaultKind::Restart) {
        for (const std::unique_ptr<Entry> &it : m_entries) {
            startEntry(*it);
        }
        return;
    }
    for (const auto &[id, target] : m_targets) {
        // The hash selects the same targets at the begin and at the end of the fault.
        const std::uint64_t hash = stableHash(id.value(), m_seed + std::size_t(fault.at.count()));
        const bool isHit = unitInterval(hash) < fault.share;
        const bool isOfService =
                fault.service.isEmpty() || fault.service == target->entry().service;
        if (isHit && isOfService) {
            applyToTarget(fault, *target, begins);
        }
    }
}

template<PlacementPolicy Policy>
void ModelRun<Policy>::applyToTarget(const InjectedFault &fault, ModelTarget &target, bool begins)
{
    switch (fault.kind) {
    case FaultKind::Forget:
        target.forget();
        break;
    case FaultKind::Down: {
        target.setDown(begins);
        target.forget();
        const DiscoveredTarget &entry = target.entry();
        m_schedule.after(m_plan.registryLag, [this, &entry, begins] {
            if (begins) {
                m_registeredTargets.erase(entry.id);
            } else {
                m_registeredTargets[entry.id].registration = entry;
            }
            publishTargets();
        });
        break;
    }
    case FaultKind::Unresponsive:
        target.setUnresponsive(begins);
        break;
    case FaultKind::Slow:
        target.setSlowness(begins ? fault.factor : 1);
        break;
    case FaultKind::Shed:
        target.setShedProbability(begins ? std::min(fault.factor, 1.0) : 0);
        break;
    case FaultKind::Burst:
    case FaultKind::Restart:
        break;
    }
}

template<PlacementPolicy Policy>
void ModelRun<Policy>::scheduleArrival(const ModelRoute &route, const ModelDomain &domain)
{
    if (route.perSecond <= 0) {
        return;
    }
    const double perSecond = route.perSecond * std::max(m_trafficFactor, MinTrafficFactor);
    const double wait = std::exponential_distribution<>(perSecond)(m_random);
    m_schedule.after(microseconds(static_cast<std::int64_t>(wait * 1e6)), [this, &route, &domain] {
        if (m_schedule.now() >= m_plan.duration) {
            return;
        }
        Request request{ &route, &m_routes.at(route.name), &domain, ++m_nextRequest, {}, {}, 0 };
        request.begin = m_schedule.now();
        if (route.objects > 0) {
            const int object = std::uniform_int_distribution<>(0, route.objects - 1)(m_random);
            request.object = stableHash(std::to_string(object), stableHash(route.name.value()));
        }
        count(request, &LoadTally::asked);
        startAttempt(request);
        scheduleArrival(route, domain);
    });
}

template<PlacementPolicy Policy>
void ModelRun<Policy>::scheduleWindowEnd()
{
    m_schedule.after(WindowLength, [this] {
        std::map<RegionId, double> used;
        std::map<RegionId, double> slots;
        for (const auto &[id, target] : m_targets) {
            const RegionId &region = m_plan.findDomain(target->entry().domain)->region;
            used[region] += static_cast<double>(target->takeBusyTime().count());
            slots[region] += target->entry().slots.value;
        }
        LoadWindow &window = windowAt(m_schedule.now() - WindowLength);
        for (const auto &[region, time] : used) {
            window.utilization[region] =
                    time / (slots[region] * static_cast<double>(WindowLength.count()));
        }
        if (m_schedule.now() < m_plan.duration) {
            scheduleWindowEnd();
        }
    });
}

template<PlacementPolicy Policy>
void ModelRun<Policy>::startAttempt(Request request)
{
    ++request.callerAttempts;
    std::vector<Entry *> localEntries;
    for (const std::unique_ptr<Entry> &it : m_entries) {
        if (it->domain == request.domain) {
            localEntries.push_back(it.get());
        }
    }
    const AttemptPtr attempt = std::make_shared<Attempt>();
    attempt->entry = localEntries[m_random() % localEntries.size()];
    attempt->entryIncarnation = attempt->entry->incarnation;
    attempt->request = request;
    m_schedule.after(m_plan.delays.caller, [this, attempt] { arrive(attempt); });
}

template<PlacementPolicy Policy>
void ModelRun<Policy>::arrive(const AttemptPtr &attempt)
{
    const Request &request = attempt->request;
    const microseconds left = request.begin + request.model->deadline - m_schedule.now();
    m_schedule.after(std::max(left, microseconds(0)), [this, attempt] { onDeadline(attempt); });
    if (!hasEntryRestarted(*attempt)) {
        attempt->entry->budgets.at(request.model->service).onRequest(clock());
        place(attempt);
    }
}

template<PlacementPolicy Policy>
void ModelRun<Policy>::place(const AttemptPtr &attempt)
{
    const Request &request = attempt->request;
    PlacementQuery query;
    query.route = request.route;
    query.objectHash = request.object;
    query.requestHash =
            stableHash(std::to_string(request.id), std::uint64_t(request.callerAttempts));
    query.triedTargets = attempt->tried;
    query.timeLeft = request.begin + request.model->deadline - m_schedule.now();
    const Placement placement =
            attempt->entry->policies.at(request.model->service)->place(query, clock());
    if (placement.target.has_value()) {
        send(attempt, placement);
        return;
    }
    attempt->hasEnded = true;
    m_schedule.after(m_plan.delays.caller,
                     [this, request, placement] { onRefused(request, placement.retryAfter); });
}

template<PlacementPolicy Policy>
void ModelRun<Policy>::send(const AttemptPtr &attempt, const Placement &placement)
{
    const TargetId target = *placement.target;
    attempt->target = target;
    attempt->tried.insert(target);
    attempt->sentAt = m_schedule.now();
    ++attempt->sends;
    attempt->entry->policies.at(attempt->request.model->service)->onSent(target, clock());
    ModelTarget &model = *m_targets.at(target);
    const microseconds oneWayDelay = delay(attempt->entry->domain->id, model.entry().domain);
    m_schedule.after(oneWayDelay, [this, attempt, placement, &model, oneWayDelay] {
        if (model.isDown()) {
            m_schedule.after(oneWayDelay, [this, attempt] { onUnreachable(attempt); });
            return;
        }
        model.submit(attempt->request.model->work, attempt->request.object,
                     [this, attempt, placement, oneWayDelay](const TargetResult &result) {
                         m_schedule.after(oneWayDelay, [this, attempt, placement, result] {
                             onResult(attempt, placement, result);
                         });
                     });
    });
}

template<PlacementPolicy Policy>
void ModelRun<Policy>::endSend(const AttemptPtr &attempt, SendOutcome outcome, bool hadToWait)
{
    attempt->entry->policies.at(attempt->request.model->service)
            ->onEnded(*std::exchange(attempt->target, std::nullopt), attempt->request.model->name,
                      outcome, m_schedule.now() - attempt->sentAt, hadToWait, clock());
}

template<PlacementPolicy Policy>
void ModelRun<Policy>::onResult(const AttemptPtr &attempt, const Placement &placement,
                                const TargetResult &result)
{
    if (attempt->hasEnded || hasEntryRestarted(*attempt)) {
        return;
    }
    const Request request = attempt->request;
    attempt->entry->policies.at(request.model->service)
            ->onReport(*attempt->target, result.load, clock());
    endSend(attempt, result.hasRun ? SendOutcome::Answered : SendOutcome::Declined,
            placement.expectedWait > microseconds(0));
    if (result.hasRun) {
        attempt->hasEnded = true;
        m_schedule.after(m_plan.delays.caller, [this, request] {
            const microseconds time = m_schedule.now() - request.begin;
            count(request, time <= request.model->goal ? &LoadTally::inGoal : &LoadTally::late);
            windowAt(request.begin).times.push_back(time);
            m_result.returnedAnswered += request.callerAttempts > 1 ? 1 : 0;
        });
        return;
    }
    const microseconds left = request.begin + request.model->deadline - m_schedule.now();
    if (attempt->sends < request.model->maxAttempts && left >= MinRetryTime
        && attempt->entry->budgets.at(request.model->service).tryRetry(clock())) {
        place(attempt);
        return;
    }
    attempt->hasEnded = true;
    m_schedule.after(m_plan.delays.caller,
                     [this, request] { onRefused(request, DeclinedRetryAfter); });
}

template<PlacementPolicy Policy>
void ModelRun<Policy>::onUnreachable(const AttemptPtr &attempt)
{
    if (attempt->hasEnded || hasEntryRestarted(*attempt)) {
        return;
    }
    endSend(attempt, SendOutcome::Unreachable, true);
    // The request has not reached any target, so that it counts neither as an attempt nor against
    // the retry budget.
    --attempt->sends;
    place(attempt);
}

template<PlacementPolicy Policy>
void ModelRun<Policy>::onDeadline(const AttemptPtr &attempt)
{
    if (std::exchange(attempt->hasEnded, true)) {
        return;
    }
    if (attempt->target.has_value() && !hasEntryRestarted(*attempt)) {
        endSend(attempt, SendOutcome::Aborted, true);
    }
    count(attempt->request, &LoadTally::failed);
}

template<PlacementPolicy Policy>
void ModelRun<Policy>::onRefused(Request request, microseconds retryAfter)
{
    const microseconds time = m_schedule.now() - request.begin;
    const bool isInTime = time + retryAfter < request.model->deadline;
    if (request.callerAttempts <= request.model->returns && isInTime) {
        m_schedule.after(retryAfter, [this, request] {
            ++m_result.returned;
            startAttempt(request);
        });
        return;
    }
    m_result.longestRefused = std::max(m_result.longestRefused, time);
    count(request, &LoadTally::refused);
}

template<PlacementPolicy Policy>
void ModelRun<Policy>::count(const Request &request, int LoadTally::*member)
{
    ++(m_result.routes[request.model->name].*member);
    ++(m_result.regions[request.domain->region].*member);
    ++(windowAt(request.begin).tally.*member);
}

template<PlacementPolicy Policy>
MonotonicTime ModelRun<Policy>::clock() const
{
    return MonotonicTime(ClockStart + m_schedule.now());
}

template<PlacementPolicy Policy>
microseconds ModelRun<Policy>::delay(const FailureDomainId &from, const FailureDomainId &to) const
{
    if (from == to) {
        return m_plan.delays.withinDomain;
    }
    const bool isSameRegion = m_plan.findDomain(from)->region == m_plan.findDomain(to)->region;
    return isSameRegion ? m_plan.delays.betweenDomains : m_plan.delays.betweenRegions;
}

template<PlacementPolicy Policy>
LoadWindow &ModelRun<Policy>::windowAt(microseconds time)
{
    const auto index = static_cast<std::size_t>(time / WindowLength);
    while (m_result.windows.size() <= index) {
        m_result.windows.emplace_back().begin =
                WindowLength * static_cast<std::int64_t>(m_result.windows.size() - 1);
    }
    return m_result.windows[index];
}

template<PlacementPolicy Policy>
LoadResult ModelRun<Policy>::run(const std::string &policyName)
{
    m_result.load = m_plan.name;
    m_result.policy = policyName;
    m_result.seed = m_seed;
    for (const InjectedFault &it : m_plan.faults) {
        scheduleFault(it);
    }
    for (const ModelRoute &route : m_plan.routes) {
        for (const ModelDomain &domain : m_plan.domains) {
            scheduleArrival(route, domain);
        }
    }
    scheduleWindowEnd();
    while (m_schedule.step(m_plan.duration + CompletionTime)) {
    }
    for (LoadWindow &it : m_result.windows) {
        std::sort(it.times.begin(), it.times.end());
    }
    for (const auto &[id, target] : m_targets) {
        int &longest = m_result.longestQueue[target->entry().service];
        longest = std::max(longest, target->longestQueue());
    }
    return std::move(m_result);
}

template class ModelRun<ServiceDispatcher>;
template class ModelRun<LeastLoadedPolicy>;

} // namespace Tarragon
