#include "routing/ServiceDispatcher.h"

#include "base/Digest.h"
#include "steering/Rendezvous.h"

#include <algorithm>
#include <set>

namespace Tarragon {

namespace {

/// A busier home is preferred to another one by this part of the work, as the object is more
/// likely to be known there.
constexpr double FirstHomeAdvantage = 0.5;
/// Mean answer from which a route is placed near its callers. Links between failure domains and
/// regions are limited and shared, and each round trip of a long answer takes their delay.
constexpr double LargeAnswerBytes = 32'768;
/// Weight of a new measurement in a route's mean work or answer length.
constexpr double MeanWeight = 0.05;
/// Work of a route before the first answer, as a part of its latency goal.
constexpr double FirstWorkShareOfGoal = 0.6;
/// Extra work of a cold target until it is measured.
constexpr double ColdSlowness = 2.0;
/// Part of the cold rate that is planned for; the rest is for entries that start or return.
constexpr double ColdRateUse = 0.9;
/// Requests to a cold target that one entry may send at a time.
constexpr double ColdBurst = 1.0;
/// Largest part of a service's targets that is spared for failures; if more fail, the cause is
/// more likely common to all.
constexpr double LargestSuspendedShare = 0.34;
/// Bounds of the time after which a refused caller is asked to return.
constexpr milliseconds ShortestReturn{ 40 };
constexpr milliseconds LongestReturn{ 1'000 };
/// Longest pause that is granted to a target; one that needs longer asks again.
constexpr milliseconds LongestPause{ 30'000 };
/// Part of the return time by which callers are spread.
constexpr double ReturnSpread = 0.2;

/// Adds a measurement to a route's mean; the first one is the mean.
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
    }
    return "";
}

ServiceDispatcher::ServiceDispatcher(EntryPlace place, const HostedService &service,
                                     const DispatchOptions &options)
    : m_place(std::move(place))
    , m_service(service)
    , m_options(options)
{
    std::set<RegionId> regions;
    for (const auto &[domain, region] : m_place.regions) {
        regions.insert(region);
    }
    m_callerRegions.assign(regions.begin(), regions.end());
}

void ServiceDispatcher::setTargets(const TargetRegistry::Targets &targets, MonotonicTime now)
{
    States states;
    m_slots.clear();
    for (const auto &[id, known] : targets) {
        if (known.entry.service != m_service.id) {
            continue;
        }
        TargetState state;
        const auto before = m_targets.find(id);
        if (before != m_targets.end() && before->second.known.run == known.run) {
            state = std::move(before->second);
        }
        state.known = known;
        state.hash = stableHash(id.value());
        const auto region = m_place.regions.find(known.entry.domain);
        state.region = region == m_place.regions.end() ? RegionId() : region->second;
        if (known.standing == TargetStanding::Ready) {
            m_slots[state.region] += known.entry.slots.value;
        }
        configureColdRate(state, now);
        states.emplace(id, std::move(state));
    }
    m_targets = std::move(states);
}

void ServiceDispatcher::configureColdRate(TargetState &state, MonotonicTime now) const
{
    const double share = m_service.coldRequestsPerSecond * ColdRateUse
                         / static_cast<double>(std::max<std::size_t>(m_entries, 1));
    state.coldRate.configure(share, ColdBurst, now);
}

Placement ServiceDispatcher::place(const PlacementQuery &query, MonotonicTime now)
{
    const std::vector<Candidate> homes = homesOf(query, now);
    if (homes.empty()) {
        Placement placement;
        placement.reason =
                hasColdTarget(query, now) ? RefusalReason::Cold : RefusalReason::NoTarget;
        placement.retryAfter =
                scaled(LongestReturn, 0.5 + ReturnSpread * unitInterval(query.request));
        return placement;
    }
    const Candidate *best = nullptr;
    for (const Candidate &it : homes) {
        const bool isPaused = it.pause > microseconds(0);
        if (!isPaused && (best == nullptr || isMuchSooner(it, *best))) {
            best = &it;
        }
    }
    const microseconds limit = scaled(query.route->latencyGoal, m_options.waitShareOfGoal);
    if (best == nullptr || best->wait > limit) {
        return refuse(RefusalReason::Busy, homes, query, limit, now);
    }
    // A guess of the work is no reason to refuse.
    if (m_work.contains(query.route->name) && best->wait + best->work > query.left) {
        return refuse(RefusalReason::TooLate, homes, query, limit, now);
    }
    Placement placement;
    placement.target = best->state->known.entry.id;
    placement.wait = best->wait;
    placement.work = best->work;
    return placement;
}

bool ServiceDispatcher::isMuchSooner(const Candidate &home, const Candidate &earlier)
{
    return home.wait + home.work + scaled(earlier.work, FirstHomeAdvantage)
           < earlier.wait + earlier.work;
}

std::vector<ServiceDispatcher::Candidate> ServiceDispatcher::homesOf(const PlacementQuery &query,
                                                                     MonotonicTime now)
{
    const RegionId preferred = regionOf(query);
    const bool isLarge = hasLargeAnswers(query.route->name);
    std::vector<Candidate> homes;
    std::vector<Candidate> paused;
    bool hasPreferred = false;
    for (TargetState *it : ranking(query, preferred, isLarge, now)) {
        // Near targets may be too few for long answers; the region that has room stands in.
        const bool isStandIn = isLarge && !hasPreferred && it->region == preferred;
        if ((homes.size() >= m_options.homesPerObject && !isStandIn) || !mayTake(*it, now)) {
            continue;
        }
        // An object keeps its homes for the time of a pause; other requests go anywhere.
        if (!query.object.has_value() && pauseOf(*it, now) > microseconds(0)) {
            paused.push_back(assess(*it, *query.route, now));
            continue;
        }
        hasPreferred = hasPreferred || it->region == preferred;
        homes.push_back(assess(*it, *query.route, now));
        if (homes.size() >= m_options.homesPerObject && (!isLarge || hasPreferred)) {
            break;
        }
    }
    return homes.empty() ? paused : homes;
}

bool ServiceDispatcher::hasColdTarget(const PlacementQuery &query, MonotonicTime now) const
{
    return std::any_of(m_targets.begin(), m_targets.end(),
                       [this, &query, now](const States::value_type &it) {
                           return isUsable(it.second, query) && isCold(it.second, now);
                       });
}

std::vector<ServiceDispatcher::TargetState *>
ServiceDispatcher::ranking(const PlacementQuery &query, const RegionId &preferred, bool isLarge,
                           MonotonicTime now)
{
    struct Ranked
    {
        TargetState *state = nullptr;
        int tier = 0;
        double score = 0;
    };
    const bool sparesFailing = sparesSuspended(now);
    const std::uint64_t key = query.object.value_or(query.request);
    std::vector<Ranked> ranked;
    ranked.reserve(m_targets.size());
    for (auto &[id, state] : m_targets) {
        if (!isUsable(state, query)) {
            continue;
        }
        Ranked item{ &state, 0, 0 };
        if (sparesFailing && state.outcomes.isSuspended(now)) {
            continue;
        }
        item.tier = tierOf(state, preferred, isLarge);
        item.score = rendezvousScore(key, state.hash,
                                     static_cast<double>(state.known.entry.slots.value));
        ranked.push_back(item);
    }
    std::sort(ranked.begin(), ranked.end(), [](const Ranked &a, const Ranked &b) {
        return a.tier != b.tier ? a.tier < b.tier : a.score < b.score;
    });
    std::vector<TargetState *> states;
    states.reserve(ranked.size());
    for (const Ranked &it : ranked) {
        states.push_back(it.state);
    }
    return states;
}

int ServiceDispatcher::tierOf(const TargetState &state, const RegionId &preferred,
                              bool isLarge) const
{
    const bool isNearest =
            isLarge ? state.known.entry.domain == m_place.domain : state.region == preferred;
    if (isNearest) {
        return 0;
    }
    return state.region == m_place.region ? 1 : 2;
}

bool ServiceDispatcher::hasLargeAnswers(const RouteName &route) const
{
    const auto it = m_answerBytes.find(route);
    return it != m_answerBytes.end() && it->second >= LargeAnswerBytes;
}

void ServiceDispatcher::onAnswerBytes(const RouteName &route, ByteCount bytes)
{
    smooth(m_answerBytes, route, static_cast<double>(bytes.value));
}

RegionId ServiceDispatcher::regionOf(const PlacementQuery &query) const
{
    RegionSlots slots;
    for (const auto &[region, count] : m_slots) {
        if (query.route->allows(region)) {
            slots[region] = count;
        }
    }
    const RegionShares shares = regionShares(slots, m_callerRegions, m_place.region);
    if (shares.empty()) {
        return m_place.region;
    }
    const std::uint64_t key = query.object.value_or(query.request);
    return regionForHash(shares, rendezvousHash(key, stableHash(m_service.id.value())));
}

bool ServiceDispatcher::isUsable(const TargetState &state, const PlacementQuery &query) const
{
    return state.known.standing == TargetStanding::Ready && query.route->allows(state.region)
           && !query.tried.contains(state.known.entry.id);
}

bool ServiceDispatcher::isCold(const TargetState &state, MonotonicTime now) const
{
    return now < state.known.coldUntil && m_service.coldRequestsPerSecond > 0;
}

microseconds ServiceDispatcher::pauseOf(const TargetState &state, MonotonicTime now)
{
    return std::max(state.pausedUntil - now, microseconds(0));
}

bool ServiceDispatcher::mayTake(const TargetState &state, MonotonicTime now) const
{
    // Without the number of entries the share of the cold rate is unknown.
    return !isCold(state, now) || (m_entries > 0 && state.coldRate.hasToken(now));
}

bool ServiceDispatcher::sparesSuspended(MonotonicTime now) const
{
    std::size_t ready = 0;
    std::size_t suspended = 0;
    for (const auto &[id, state] : m_targets) {
        if (state.known.standing != TargetStanding::Ready) {
            continue;
        }
        ++ready;
        suspended += state.outcomes.isSuspended(now) ? 1 : 0;
    }
    return static_cast<double>(suspended) <= LargestSuspendedShare * static_cast<double>(ready);
}

ServiceDispatcher::Candidate ServiceDispatcher::assess(TargetState &state, const Route &route,
                                                       MonotonicTime now) const
{
    const double slowness = state.load.slowness(now) * (isCold(state, now) ? ColdSlowness : 1.0);
    const microseconds work = scaled(expectedWork(route), slowness);
    return Candidate{ &state, state.load.wait(state.known.entry.slots, work, now), work,
                      pauseOf(state, now) };
}

Placement ServiceDispatcher::refuse(RefusalReason reason, const std::vector<Candidate> &homes,
                                    const PlacementQuery &query, microseconds limit,
                                    MonotonicTime now) const
{
    // The earliest time at which a home has room that was not promised to another caller.
    const Candidate *soonest = nullptr;
    MonotonicTime returnAt;
    for (const Candidate &it : homes) {
        const MonotonicTime roomAt =
                std::max(now + std::max(it.wait - limit, it.pause), it.state->promisedUntil);
        if (soonest == nullptr || roomAt < returnAt) {
            soonest = &it;
            returnAt = roomAt;
        }
    }
    // Other entries promise room of the same home.
    const double entries = static_cast<double>(std::max<std::size_t>(m_entries, 1));
    const microseconds taken =
            scaled(soonest->work, entries / soonest->state->known.entry.slots.value);
    const microseconds longest = std::max<microseconds>(LongestReturn, soonest->pause);
    const microseconds base = std::clamp<microseconds>(returnAt - now, ShortestReturn, longest);
    soonest->state->promisedUntil = now + std::min<microseconds>(base + taken, longest);
    Placement placement;
    placement.reason = reason;
    placement.busyHome = soonest->state->known.entry.id;
    placement.wait = std::max(soonest->wait, soonest->pause);
    placement.work = soonest->work;
    placement.waitLimit = limit;
    placement.retryAfter = scaled(base, 1 + ReturnSpread * unitInterval(query.request));
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
    if (isCold(state, now)) {
        state.coldRate.take(now);
    }
    if (state.outcomes.isOnTrial(now)) {
        state.outcomes.onTrialSent(now);
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

void ServiceDispatcher::onLeaving(const TargetId &target, std::uint64_t bornMs)
{
    const auto it = m_targets.find(target);
    if (it == m_targets.end() || it->second.known.entry.bornMs != bornMs
        || it->second.known.standing == TargetStanding::Leaving) {
        return;
    }
    it->second.known.standing = TargetStanding::Leaving;
    m_leaving.push_back(LeavingTarget{ target, bornMs });
}

milliseconds ServiceDispatcher::onPauseAsked(const TargetId &target, milliseconds stated,
                                             MonotonicTime now)
{
    const milliseconds granted = std::clamp(stated, milliseconds(0), LongestPause);
    const auto it = m_targets.find(target);
    if (it != m_targets.end()) {
        it->second.pausedUntil = std::max(it->second.pausedUntil, now + granted);
    }
    return granted;
}

void ServiceDispatcher::onEnded(const TargetId &target, const RouteName &route, SendOutcome outcome,
                                microseconds duration, bool hadToWait, MonotonicTime now)
{
    const bool isMeasured = outcome == SendOutcome::Answered && !hadToWait;
    const auto it = m_targets.find(target);
    if (it != m_targets.end()) {
        TargetState &state = it->second;
        state.load.onEnded();
        const bool wasSuspended = state.outcomes.isSuspended(now);
        // A target that asks for a pause is sound.
        const bool asksPause =
                outcome == SendOutcome::Declined && pauseOf(state, now) > microseconds(0);
        state.outcomes.onOutcome(asksPause ? SendOutcome::Abandoned : outcome, now);
        if (state.outcomes.isSuspended(now) != wasSuspended) {
            m_changes.push_back(
                    TargetChange{ target, m_service.id, wasSuspended ? "trusted" : "suspended" });
        }
        const auto mean = m_work.find(route);
        if (isMeasured && mean != m_work.end() && mean->second > 0) {
            state.load.onWorkRatio(static_cast<double>(duration.count()) / mean->second, now);
        }
    }
    if (isMeasured) {
        smooth(m_work, route, static_cast<double>(duration.count()));
    }
}

const KnownTarget *ServiceDispatcher::target(const TargetId &id) const
{
    const auto it = m_targets.find(id);
    return it == m_targets.end() ? nullptr : &it->second.known;
}

microseconds ServiceDispatcher::expectedWork(const Route &route) const
{
    const auto it = m_work.find(route.name);
    if (it == m_work.end()) {
        return scaled(route.latencyGoal, FirstWorkShareOfGoal);
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
                return it.second.known.standing == TargetStanding::Ready;
            }));
}

} // namespace Tarragon
