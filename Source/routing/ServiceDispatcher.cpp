#include "routing/ServiceDispatcher.h"

#include "base/Digest.h"

#include <algorithm>

namespace Tarragon {

namespace {

/// A candidate that is earlier in the ranking is still preferred if it is slower by less than this
/// fraction of its processing time, because the object is more likely to be in its cache.
constexpr double FirstTargetAdvantage = 0.5;
/// Mean response size from which targets near the entry are preferred. Links between failure
/// domains and regions are limited and shared, and each round trip of a large response incurs their
/// delay.
constexpr double LargeResponseBytes = 32'768;
/// Weight of a new measurement in a route's mean processing time or response size.
constexpr double MeanWeight = 0.05;
/// Assumed processing time of a route before the first response, as a fraction of its latency goal.
constexpr double InitialTimeToGoalRatio = 0.6;
/// Factor by which a cold target is assumed to be slower, in addition to its measured slowdown.
constexpr double ColdSlowdown = 2.0;
/// Fraction of a service's targets up to which ejections are applied. If more targets are ejected,
/// ejections are ignored because the cause is more likely common to all targets.
constexpr double MaxEjectedFraction = 0.34;
/// Maximum backoff granted to a target; a target that needs longer can ask again.
constexpr milliseconds MaxBackoff{ 30'000 };

/// Updates a route's exponential moving average; the first measurement initializes it.
void smooth(std::map<RouteName, double> &means, const RouteName &route, double value)
{
    const auto [mean, isFirst] = means.try_emplace(route, value);
    if (!isFirst) {
        mean->second += MeanWeight * (value - mean->second);
    }
}

} // namespace

std::string_view toString(RefusalReason reason)
{
    switch (reason) {
    case RefusalReason::NoTarget:
        return "no-target";
    case RefusalReason::Busy:
        return "busy";
    case RefusalReason::TooLate:
        return "too-late";
    case RefusalReason::Cold:
        return "cold";
    case RefusalReason::Limited:
        return "limited";
    }
    return "";
}

ServiceDispatcher::ServiceDispatcher(EntryLocality locality, const HostedService &service,
                                     const DispatchOptions &options,
                                     std::shared_ptr<TargetLimits> limits)
    : m_locality(std::move(locality))
    , m_service(service)
    , m_options(options)
    , m_limits(std::move(limits))
    , m_ranking(m_locality)
{}

void ServiceDispatcher::setTargets(const TargetRegistry::Targets &targets)
{
    States states;
    std::vector<RankingTarget> ranked;
    m_rankedTargets.clear();
    m_ejectedTargets.clear();
    for (const auto &[id, known] : targets) {
        if (known.registration.service != m_service.id) {
            continue;
        }
        TargetState state;
        const auto before = m_targets.find(id);
        if (before != m_targets.end() && before->second.known.restartCount == known.restartCount) {
            state = std::move(before->second);
        }
        state.known = known;
        const auto region = m_locality.regionOfDomain.find(known.registration.domain);
        state.region = region == m_locality.regionOfDomain.end() ? RegionId() : region->second;
        TargetState &added = states.emplace(id, std::move(state)).first->second;
        if (known.availability == TargetAvailability::Ready) {
            ranked.push_back({ stableHash(id.value()), known.registration.slots,
                               known.registration.domain, added.region });
            m_rankedTargets.push_back(&added);
        }
        if (added.ejection.wasEjected()) {
            m_ejectedTargets.push_back(&added);
        }
    }
    m_targets = std::move(states);
    m_ranking.setTargets(ranked);
}

Placement ServiceDispatcher::place(const PlacementQuery &query, MonotonicTime now)
{
    const std::vector<Candidate> candidates = candidatesFor(query, now);
    if (candidates.empty()) {
        return refuseWithoutCandidates(query, now);
    }
    const Candidate *best = nullptr;
    for (const Candidate &it : candidates) {
        const bool isBackingOff = it.backoff > microseconds(0);
        if (!isBackingOff && (best == nullptr || isMuchSooner(it, *best))) {
            best = &it;
        }
    }
    const WaitLimit limit = waitLimitFor(query, now);
    if (best == nullptr || best->wait > limit.limit) {
        return refuse(RefusalReason::Busy, candidates, query, limit, now);
    }
    // Without a measured processing time, the request is not refused as too late.
    if (m_processingTimes.contains(query.route->name)
        && best->wait + best->processingTime > query.timeLeft) {
        return refuse(RefusalReason::TooLate, candidates, query, limit, now);
    }
    Placement placement;
    placement.target = best->state->known.registration.id;
    placement.needsPermit = needsPermit(*best->state, now);
    if (isCold(*best->state, now)) {
        placement.coldRate = RequestRate{ m_service.coldRequestsPerSecond };
    }
    placement.expectedWait = best->wait;
    placement.expectedProcessingTime = best->processingTime;
    return placement;
}

WaitLimit ServiceDispatcher::waitLimitFor(const PlacementQuery &query, MonotonicTime now)
{
    const Route &route = *query.route;
    return m_waitLimits.limitFor(
            WaitLimitQuery{ urgencyOf(route, query.workspace),
                            scaled(route.latencyGoal, m_options.maxWaitToGoalRatio),
                            expectedProcessingTime(route) },
            now);
}

bool ServiceDispatcher::isMuchSooner(const Candidate &candidate, const Candidate &earlier)
{
    return candidate.wait + candidate.processingTime
                   + scaled(earlier.processingTime, FirstTargetAdvantage)
           < earlier.wait + earlier.processingTime;
}

std::vector<ServiceDispatcher::Candidate>
ServiceDispatcher::candidatesFor(const PlacementQuery &query, MonotonicTime now)
{
    const bool skipsEjected = appliesEjections(now);
    const auto isAllowed = [&query](const RegionId &it) { return query.allows(it); };
    const auto mayGet = [&](std::size_t position) {
        const TargetState &state = *m_rankedTargets[position];
        return isUsable(state, query) && !(skipsEjected && state.ejection.isEjected(now))
               && isPermitPossible(state, query, now);
    };
    // An object keeps its affinity targets during a backoff; requests without an object go to
    // other targets.
    const auto mayGetNow = [&](std::size_t position) {
        return (query.objectHash.has_value()
                || remainingBackoff(*m_rankedTargets[position], now) == microseconds(0))
               && mayGet(position);
    };
    RankingQuery ranking{ query.objectHash.value_or(query.requestHash),
                          m_options.affinityTargetsPerObject,
                          hasLargeResponses(query.route->name) };
    std::vector<Candidate> candidates;
    for (const std::size_t it : m_ranking.select(ranking, isAllowed, mayGetNow)) {
        candidates.push_back(makeCandidate(*m_rankedTargets[it], *query.route, now));
    }
    if (candidates.empty() && !query.objectHash.has_value()) {
        ranking.count = m_rankedTargets.size();
        for (const std::size_t it : m_ranking.select(ranking, isAllowed, mayGet)) {
            candidates.push_back(makeCandidate(*m_rankedTargets[it], *query.route, now));
        }
    }
    return candidates;
}

Placement ServiceDispatcher::refuseWithoutCandidates(const PlacementQuery &query,
                                                     MonotonicTime now) const
{
    const double jitter = RefusalPolicy::jitterOf(query.requestHash);
    Placement placement;
    placement.retryAfter = scaled(RefusalPolicy::MaxRetryAfter, 0.5 + jitter);
    for (const auto &[id, state] : m_targets) {
        if (!isUsable(state, query)) {
            continue;
        }
        if (isCold(state, now)) {
            placement.reason = RefusalReason::Cold;
        } else if (m_limits->isLimited(id) && placement.reason != RefusalReason::Cold) {
            placement.reason = RefusalReason::Limited;
            const microseconds untilPermit = std::max<microseconds>(
                    m_limits->exhaustedUntil(id) - now, RefusalPolicy::MinRetryAfter);
            placement.retryAfter = std::min(placement.retryAfter, scaled(untilPermit, 1 + jitter));
        }
    }
    return placement;
}

bool ServiceDispatcher::hasLargeResponses(const RouteName &route) const
{
    const auto it = m_responseSizes.find(route);
    return it != m_responseSizes.end() && it->second >= LargeResponseBytes;
}

void ServiceDispatcher::onResponseSize(const RouteName &route, ByteCount bytes)
{
    smooth(m_responseSizes, route, static_cast<double>(bytes.value));
}

bool ServiceDispatcher::isUsable(const TargetState &state, const PlacementQuery &query) const
{
    return state.known.availability == TargetAvailability::Ready && query.allows(state.region)
           && !query.triedTargets.contains(state.known.registration.id);
}

bool ServiceDispatcher::isCold(const TargetState &state, MonotonicTime now) const
{
    return now < state.known.coldUntil && m_service.coldRequestsPerSecond > 0;
}

microseconds ServiceDispatcher::remainingBackoff(const TargetState &state, MonotonicTime now)
{
    return std::max(state.backoffUntil - now, microseconds(0));
}

bool ServiceDispatcher::needsPermit(const TargetState &state, MonotonicTime now) const
{
    return isCold(state, now) || m_limits->isLimited(state.known.registration.id);
}

bool ServiceDispatcher::isPermitPossible(const TargetState &state, const PlacementQuery &query,
                                         MonotonicTime now) const
{
    return !needsPermit(state, now)
           || (query.mayNeedPermit && m_entryCount > 0
               && m_limits->exhaustedUntil(state.known.registration.id) <= now);
}

bool ServiceDispatcher::appliesEjections(MonotonicTime now) const
{
    const auto ejected =
            std::count_if(m_ejectedTargets.begin(), m_ejectedTargets.end(), [now](const auto *it) {
                return it->known.availability == TargetAvailability::Ready
                       && it->ejection.isEjected(now);
            });
    if (ejected == 0) {
        return true;
    }
    const std::size_t ready = readyTargets();
    return static_cast<double>(ejected) <= MaxEjectedFraction * static_cast<double>(ready);
}

ServiceDispatcher::Candidate
ServiceDispatcher::makeCandidate(TargetState &state, const Route &route, MonotonicTime now) const
{
    const double slowdown = state.load.slowdown(now) * state.load.pace(now)
                            * (isCold(state, now) ? ColdSlowdown : 1.0);
    const microseconds processingTime = scaled(expectedProcessingTime(route), slowdown);
    return Candidate{ &state, state.load.wait(state.known.registration.slots, processingTime, now),
                      processingTime, remainingBackoff(state, now) };
}

Placement ServiceDispatcher::refuse(RefusalReason reason, const std::vector<Candidate> &candidates,
                                    const PlacementQuery &query, const WaitLimit &limit,
                                    MonotonicTime now) const
{
    std::vector<BusyTarget> targets;
    targets.reserve(candidates.size());
    for (const Candidate &it : candidates) {
        targets.push_back(BusyTarget{ &it.state->reservations,
                                      std::max(it.wait - limit.limit, it.backoff), it.backoff,
                                      it.processingTime, it.state->known.registration.slots });
    }
    const RefusedRequest refused{ urgencyOf(*query.route, query.workspace), limit.rank,
                                  query.requestHash };
    const RetrySlot slot = RefusalPolicy::reserveRetry(targets, refused, m_entryCount, now);
    const Candidate &earliest = candidates[slot.target];
    Placement placement;
    placement.reason = reason;
    placement.busyTarget = earliest.state->known.registration.id;
    placement.expectedWait = std::max(earliest.wait, earliest.backoff);
    placement.expectedProcessingTime = earliest.processingTime;
    placement.maxWait = limit.limit;
    placement.retryAfter = slot.retryAfter;
    return placement;
}

void ServiceDispatcher::onSent(const TargetId &target, MonotonicTime now)
{
    const auto it = m_targets.find(target);
    if (it == m_targets.end()) {
        return;
    }
    TargetState &state = it->second;
    state.load.onSent();
    if (state.ejection.isHalfOpen(now)) {
        state.ejection.onProbeSent(now);
    }
}

void ServiceDispatcher::onReport(const TargetId &target, const LoadReport &report,
                                 MonotonicTime now)
{
    const auto it = m_targets.find(target);
    if (it != m_targets.end()) {
        it->second.load.onReport(report, now);
    }
}

void ServiceDispatcher::onLeavingAnnounced(const TargetId &target, std::uint64_t startTimeMs)
{
    const auto it = m_targets.find(target);
    if (it != m_targets.end()) {
        if (it->second.known.registration.startTimeMs != startTimeMs
            || it->second.known.availability == TargetAvailability::Leaving) {
            return;
        }
        it->second.known.availability = TargetAvailability::Leaving;
    }
    m_leaving.push_back(LeavingTarget{ target, startTimeMs });
}

milliseconds ServiceDispatcher::onBackoffRequested(const TargetId &target, milliseconds stated,
                                                   MonotonicTime now)
{
    const milliseconds granted = std::clamp(stated, milliseconds(0), MaxBackoff);
    const auto it = m_targets.find(target);
    if (it != m_targets.end()) {
        it->second.backoffUntil = std::max(it->second.backoffUntil, now + granted);
    }
    return granted;
}

void ServiceDispatcher::onLimitStated(const TargetId &target, std::uint64_t startTimeMs,
                                      std::optional<RequestRate> rate, MonotonicTime now)
{
    const auto it = m_targets.find(target);
    if (it == m_targets.end() || it->second.known.registration.startTimeMs == startTimeMs) {
        m_limits->onStated(target, rate, now);
    }
}

void ServiceDispatcher::onEnded(const TargetId &target, const RouteName &route, SendOutcome outcome,
                                microseconds duration, bool hadToWait, MonotonicTime now)
{
    const bool isMeasured = outcome == SendOutcome::Answered && !hadToWait;
    double usualTime = static_cast<double>(duration.count());
    const auto it = m_targets.find(target);
    if (it != m_targets.end()) {
        TargetState &state = it->second;
        // A momentary slowdown that the target reports is not learned as a lasting one.
        usualTime /= state.load.pace(now);
        state.load.onEnded();
        const bool wasEjected = state.ejection.isEjected(now);
        // A target that requests a backoff is overloaded but has not failed.
        const bool requestsBackoff =
                outcome == SendOutcome::Declined && remainingBackoff(state, now) > microseconds(0);
        state.ejection.onOutcome(requestsBackoff ? SendOutcome::Aborted : outcome, now);
        if (state.ejection.wasEjected()
            && std::find(m_ejectedTargets.begin(), m_ejectedTargets.end(), &state)
                       == m_ejectedTargets.end()) {
            m_ejectedTargets.push_back(&state);
        }
        if (state.ejection.isEjected(now) != wasEjected) {
            m_changes.push_back(
                    TargetChange{ target, m_service.id, wasEjected ? "trusted" : "suspended" });
        }
        const auto mean = m_processingTimes.find(route);
        if (isMeasured && mean != m_processingTimes.end() && mean->second > 0) {
            state.load.onProcessingTimeRatio(usualTime / mean->second, now);
        }
    }
    if (isMeasured) {
        smooth(m_processingTimes, route, usualTime);
    }
}

const KnownTarget *ServiceDispatcher::findTarget(const TargetId &id) const
{
    const auto it = m_targets.find(id);
    return it == m_targets.end() ? nullptr : &it->second.known;
}

bool ServiceDispatcher::stillAccepts(const TargetId &id, MonotonicTime now) const
{
    const auto it = m_targets.find(id);
    return it != m_targets.end() && it->second.known.availability == TargetAvailability::Ready
           && remainingBackoff(it->second, now) == microseconds(0);
}

microseconds ServiceDispatcher::expectedProcessingTime(const Route &route) const
{
    const auto it = m_processingTimes.find(route.name);
    if (it == m_processingTimes.end()) {
        return scaled(route.latencyGoal, InitialTimeToGoalRatio);
    }
    return microseconds(static_cast<std::int64_t>(it->second));
}

std::size_t ServiceDispatcher::sendsInProgress() const
{
    std::size_t count = 0;
    for (const auto &[id, state] : m_targets) {
        count += static_cast<std::size_t>(state.load.own());
    }
    return count;
}

std::size_t ServiceDispatcher::readyTargets() const
{
    return static_cast<std::size_t>(
            std::count_if(m_targets.begin(), m_targets.end(), [](const States::value_type &it) {
                return it.second.known.availability == TargetAvailability::Ready;
            }));
}

} // namespace Tarragon
