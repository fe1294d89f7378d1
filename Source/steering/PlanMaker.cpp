#include "steering/PlanMaker.h"

#include "steering/ConfiguredWeights.h"
#include "steering/PeakCalendar.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <set>
#include <utility>

namespace Tarragon {

namespace {

/// Minimum change of a failover share for which a new plan is stored when no other weight changes.
constexpr Share MinFailoverChange{ 10'000 };

/// Maximum halvings of the failover load added to a region until it fits together with the load
/// that the plan in force gives to the region.
constexpr int MaxHalvings = 12;

/// Allowance for rounding errors in sums of loads.
constexpr double Tolerance = 1e-6;

const WeightRow &rowOf(const ServiceWeights &rows, const RegionId &caller)
{
    static const WeightRow none;
    const auto it = rows.find(caller);
    return it == rows.end() ? none : it->second;
}

const ServiceWeights &rowsOf(const Weights &weights, const ServiceId &service)
{
    static const ServiceWeights none;
    const auto it = weights.find(service);
    return it == weights.end() ? none : it->second;
}

const Weights &failoverOf(const Plan *plan, const RegionId &lost)
{
    static const Weights none;
    if (plan == nullptr) {
        return none;
    }
    const auto it = plan->failover.find(lost);
    return it == plan->failover.end() ? none : it->second;
}

/// Reduces the growth of a region's share between two rows to the given fraction. Returns the rest
/// to the regions whose shares shrink, in proportion to their losses.
void scaleGain(const WeightRow &current, WeightRow &next, const RegionId &region, double factor)
{
    const std::int64_t gain =
            shareOf(next, region).partsPerMillion - shareOf(current, region).partsPerMillion;
    if (gain <= 0) {
        return;
    }
    const auto kept = static_cast<std::int64_t>(std::floor(static_cast<double>(gain) * factor));
    std::int64_t returned = gain - kept;
    std::int64_t lost = 0;
    for (const auto &[id, share] : current) {
        lost += std::max<std::int64_t>(share.partsPerMillion - shareOf(next, id).partsPerMillion,
                                       0);
    }
    next[region].partsPerMillion -= returned;
    std::int64_t restLost = lost;
    for (const auto &[id, share] : current) {
        const std::int64_t loss = share.partsPerMillion - shareOf(next, id).partsPerMillion;
        if (id == region || loss <= 0 || restLost <= 0) {
            continue;
        }
        const std::int64_t returnedHere = returned * loss / restLost;
        next[id].partsPerMillion += returnedHere;
        returned -= returnedHere;
        restLost -= loss;
    }
    std::erase_if(next, [](const auto &it) { return it.second.partsPerMillion == 0; });
}

std::int64_t largestDifference(const ServiceWeights &a, const ServiceWeights &b)
{
    std::int64_t difference = 0;
    for (const auto &[caller, row] : a) {
        const WeightRow &other = rowOf(b, caller);
        WeightRow all = row;
        all.insert(other.begin(), other.end());
        for (const auto &[region, unused] : all) {
            difference = std::max(difference, std::abs(shareOf(row, region).partsPerMillion
                                                       - shareOf(other, region).partsPerMillion));
        }
    }
    return difference;
}

} // namespace

PlanMaker::PlanMaker(ConfigurationPtr configuration, InstanceId maker)
    : m_configuration(std::move(configuration))
    , m_maker(std::move(maker))
    , m_configuredWeights(configuredWeights(*m_configuration))
{
    for (const auto &[id, service] : m_configuration->services) {
        m_limits.emplace(id, ShiftLimits(*m_configuration, id));
    }
    for (const RegionLink &it : m_configuration->topology.links) {
        const double capacity = it.capacity.value * PlannableFraction;
        for (const Link &link : { Link(it.from, it.to), Link(it.to, it.from) }) {
            const auto known = m_linkCapacity.emplace(link, capacity).first;
            known->second = std::min(known->second, capacity);
        }
    }
}

PlanMaker::CallerLoad PlanMaker::estimateLoad(const ServiceId &service, const ServiceLoad &load,
                                              UtcTime now) const
{
    const std::vector<DailyPeak> &peaks = m_configuration->services.at(service).peaks;
    const UtcTime measured = now - std::chrono::ceil<seconds>(load.age);
    const double ahead = largestPeakFactor(peaks, now, now + PeakHorizon);
    const double then = largestPeakFactor(peaks, measured, measured);
    const double age = inSeconds(load.age);
    const double factor = std::max(ahead / then, 1.0) * (1 + AgeMarginPerSecond * age);
    return { load.busySlots * factor, load.rate.value * factor };
}

PlanMaker::ServiceState PlanMaker::makeState(const ServiceId &id, const Input &input) const
{
    ServiceState state;
    state.id = id;
    state.current = rowsOf(m_configuredWeights, id);
    const Weights &base = input.current != nullptr ? input.current->weights : input.applied;
    for (const auto &[caller, row] : rowsOf(base, id)) {
        if (state.current.count(caller) > 0) {
            state.current[caller] = row;
        }
    }
    state.next = state.current;
    state.isLoadKnown = true;
    const auto loads = input.loads.find(id);
    for (const auto &[caller, row] : state.current) {
        if (loads == input.loads.end() || loads->second.count(caller) == 0
            || loads->second.at(caller).age > MaxLoadReportAge) {
            state.isLoadKnown = false;
            continue;
        }
        state.loads[caller] = estimateLoad(id, loads->second.at(caller), input.now);
    }
    const auto slots = input.slots.find(id);
    if (slots != input.slots.end()) {
        for (const auto &[region, count] : slots->second) {
            if (count > 0) {
                state.usableSlots[region] = count * PlannableFraction;
            }
        }
    }
    return state;
}

/// Returns the configured rows, with the load that a region cannot carry moved to regions with
/// headroom.
ServiceWeights PlanMaker::goalRows(const ServiceState &state) const
{
    const ServiceWeights &configured = rowsOf(m_configuredWeights, state.id);
    std::map<RegionId, std::map<RegionId, double>> rows;
    std::set<RegionId> regions;
    for (const auto &[caller, row] : configured) {
        for (const auto &[region, share] : row) {
            rows[caller][region] = share.ratio();
            regions.insert(region);
        }
    }
    for (const auto &[region, usable] : state.usableSlots) {
        regions.insert(region);
    }
    const auto usableSlotsOf = [&](const RegionId &region) {
        const auto it = state.usableSlots.find(region);
        return it == state.usableSlots.end() ? 0.0 : it->second;
    };
    bool moved = false;
    for (const RegionId &source : regions) {
        std::map<RegionId, double> loads;
        for (const auto &[caller, row] : rows) {
            for (const auto &[region, share] : row) {
                loads[region] += share * state.loads.at(caller).slots;
            }
        }
        const double excess = loads[source] - usableSlotsOf(source);
        const bool hasNoSlots = usableSlotsOf(source) <= 0;
        if (excess <= Tolerance && !hasNoSlots) {
            continue;
        }
        std::map<RegionId, double> headroom;
        double total = 0;
        for (const auto &[region, usable] : state.usableSlots) {
            const double free = usable - loads[region];
            if (region != source && free > 0) {
                headroom[region] = free;
                total += free;
            }
        }
        if (total <= 0) {
            continue;
        }
        const double fraction =
                loads[source] > 0 ? std::min(1.0, std::min(excess, total) / loads[source]) : 1.0;
        for (auto &[caller, row] : rows) {
            const double share = row[source] * fraction;
            row[source] -= share;
            for (const auto &[region, free] : headroom) {
                row[region] += share * free / total;
            }
            moved = moved || share > 0;
        }
    }
    if (!moved) {
        return configured;
    }
    ServiceWeights result;
    for (const auto &[caller, row] : rows) {
        WeightRow &resultRow = result[caller];
        std::int64_t rest = Share::whole().partsPerMillion;
        for (const auto &[region, share] : row) {
            const auto parts = static_cast<std::int64_t>(std::floor(share * 1e6 + Tolerance));
            if (parts > 0) {
                resultRow[region].partsPerMillion = parts;
                rest -= parts;
            }
        }
        const auto largest =
                std::max_element(resultRow.begin(), resultRow.end(),
                                 [](const auto &a, const auto &b) { return a.second < b.second; });
        if (largest != resultRow.end()) {
            largest->second.partsPerMillion += rest;
        }
    }
    return result;
}

void PlanMaker::stepRows(ServiceState &state, std::vector<std::string> &notes) const
{
    if (!state.isLoadKnown) {
        notes.push_back("service " + state.id.value() + ": load reports missing or too old");
        return;
    }
    const ServiceWeights goal = goalRows(state);
    const bool followsLoad = goal != rowsOf(m_configuredWeights, state.id);
    if (followsLoad && largestDifference(goal, state.current) < Deadband.partsPerMillion) {
        return;
    }
    const ShiftLimits &limits = m_limits.at(state.id);
    for (auto &[caller, row] : state.next) {
        const WeightRow &goalRow = rowOf(goal, caller);
        if (!goalRow.empty() && row != goalRow) {
            row = limits.step(row, goalRow, { { row, microseconds(0) } });
            if (row != goalRow) {
                notes.push_back("service " + state.id.value() + ", callers of " + caller.value()
                                + ": limited by caps");
            }
        }
    }
}

void PlanMaker::limitToSlots(ServiceState &state, std::vector<std::string> &notes) const
{
    std::map<RegionId, double> before;
    std::map<RegionId, double> gains;
    for (const auto &[caller, row] : state.next) {
        const WeightRow &current = rowOf(state.current, caller);
        const double load = state.isLoadKnown ? state.loads.at(caller).slots : 0;
        for (const auto &[region, share] : current) {
            before[region] += load * share.ratio();
        }
        for (const auto &[region, share] : row) {
            gains[region] += load * std::max(share.ratio() - shareOf(current, region).ratio(), 0.0);
        }
    }
    for (const auto &[region, gain] : gains) {
        const auto usable = state.usableSlots.find(region);
        const double headroom =
                (usable == state.usableSlots.end() ? 0.0 : usable->second) - before[region];
        if (gain <= std::max(headroom, 0.0) + Tolerance) {
            continue;
        }
        notes.push_back("service " + state.id.value() + ", region " + region.value()
                        + ": limited by slots");
        for (auto &[caller, row] : state.next) {
            scaleGain(rowOf(state.current, caller), row, region, std::max(headroom, 0.0) / gain);
        }
    }
}

std::map<PlanMaker::Link, double> PlanMaker::linkUse(const std::vector<ServiceState> &states) const
{
    std::map<Link, double> use;
    for (const ServiceState &state : states) {
        for (const auto &[caller, load] : state.loads) {
            const WeightRow &current = rowOf(state.current, caller);
            WeightRow all = rowOf(state.next, caller);
            for (const auto &[region, share] : current) {
                all[region] = std::max(all[region], share);
            }
            for (const auto &[region, share] : all) {
                if (region != caller) {
                    use[{ caller, region }] += load.rate * share.ratio();
                }
            }
        }
    }
    return use;
}

double PlanMaker::serviceLinkCap(const ServiceId &service, const Link &link) const
{
    double cap = std::numeric_limits<double>::infinity();
    for (const ShiftCap &it : m_configuration->shifts) {
        const bool isLink = (it.from == link.first && it.to == link.second)
                            || (it.from == link.second && it.to == link.first);
        if (it.service == service && isLink && it.linkRate.value > 0) {
            cap = std::min(cap, it.linkRate.value * PlannableFraction);
        }
    }
    return cap;
}

void PlanMaker::limitToLinks(std::vector<ServiceState> &states,
                             std::vector<std::string> &notes) const
{
    const auto revertGain = [&](ServiceState &state, const Link &link) {
        WeightRow &row = state.next[link.first];
        const WeightRow before = row;
        scaleGain(rowOf(state.current, link.first), row, link.second, 0);
        if (row != before) {
            notes.push_back("service " + state.id.value() + ", link " + link.first.value() + " to "
                            + link.second.value() + ": limited by its rate");
        }
    };
    for (ServiceState &state : states) {
        for (const auto &[link, rate] : linkUse({ state })) {
            if (rate > serviceLinkCap(state.id, link)) {
                revertGain(state, link);
            }
        }
    }
    for (const auto &[link, rate] : linkUse(states)) {
        const auto capacity = m_linkCapacity.find(link);
        if (capacity != m_linkCapacity.end() && rate > capacity->second) {
            for (ServiceState &state : states) {
                revertGain(state, link);
            }
        }
    }
}

/// Reverts the rows whose step exceeds a cap. A step reduced for slots or links can move other
/// callers between other regions than the full step, so the caps are checked again.
void PlanMaker::revertRowsBeyondCaps(ServiceState &state) const
{
    const ShiftLimits &limits = m_limits.at(state.id);
    for (auto &[caller, row] : state.next) {
        const WeightRow &current = rowOf(state.current, caller);
        if (row != current && !limits.allows({ { current, microseconds(0) } }, row)) {
            row = current;
        }
    }
}

Weights PlanMaker::failoverWeights(const RegionId &lost, const std::vector<ServiceState> &states,
                                   const Plan *current, std::vector<std::string> &notes) const
{
    Weights result;
    const Weights &before = failoverOf(current, lost);
    std::map<Link, double> use = linkUse(states);
    for (const ServiceState &state : states) {
        ServiceWeights &rows = result[state.id];
        const ServiceWeights &oldRows = rowsOf(before, state.id);
        const auto isAffected = [&](const RegionId &caller) {
            return shareOf(rowOf(state.next, caller), lost).partsPerMillion > 0;
        };
        if (!state.isLoadKnown) {
            // The rows of the plan in force stay unchanged, so its failover rows, which were
            // checked together with them, remain valid. Where there is no such failover row, the
            // share of the lost region stays unassigned.
            for (const auto &[caller, row] : state.next) {
                if (isAffected(caller)) {
                    rows[caller] = rowOf(oldRows, caller);
                    if (rows[caller].empty()) {
                        rows[caller] = row;
                        rows[caller].erase(lost);
                    }
                }
            }
            continue;
        }
        // Returns the largest load of a region while each entry applies either the extra rows or
        // rows of either plan. The failover rows of the plan in force are left out where they no
        // longer fit the increased load, because then only a next plan with smaller shares helps.
        const auto largestLoad = [&](const RegionId &region, const ServiceWeights &extra,
                                     bool withOldRows) {
            double load = 0;
            for (const auto &[caller, row] : state.next) {
                Share share = std::max(shareOf(row, region),
                                       shareOf(rowOf(state.current, caller), region));
                if (withOldRows) {
                    share = std::max(share, shareOf(rowOf(oldRows, caller), region));
                }
                share = std::max(share, shareOf(rowOf(extra, caller), region));
                load += state.loads.at(caller).slots * share.ratio();
            }
            return load;
        };
        double excess = 0;
        for (const auto &[caller, row] : state.next) {
            if (isAffected(caller)) {
                rows[caller] = row;
                rows[caller].erase(lost);
                excess += state.loads.at(caller).slots * shareOf(row, lost).ratio();
            }
        }
        std::map<RegionId, double> headroom;
        double totalHeadroom = 0;
        for (const auto &[region, usable] : state.usableSlots) {
            const double load = largestLoad(region, {}, false);
            const bool isForbidden = m_limits.at(state.id).forbids(lost, region);
            if (region != lost && !isForbidden && usable > load) {
                headroom[region] = usable - load;
                totalHeadroom += usable - load;
            }
        }
        double assigned = 0;
        for (const auto &[region, free] : headroom) {
            // Fraction of the lost region's share that moves to this region.
            double fraction = excess > 0 ? std::min(free / excess, free / totalHeadroom)
                                         : free / totalHeadroom;
            const double usable = state.usableSlots.at(region);
            const bool oldRowsFit = largestLoad(region, {}, true) <= usable + Tolerance;
            ServiceWeights trial;
            for (int i = 0; i <= MaxHalvings; ++i) {
                trial = rows;
                for (auto &[caller, row] : trial) {
                    const std::int64_t share =
                            shareOf(rowOf(state.next, caller), lost).partsPerMillion;
                    std::int64_t extra =
                            std::llround(std::floor(static_cast<double>(share) * fraction));
                    const Link link(caller, region);
                    const double rate = state.loads.at(caller).rate;
                    if (caller != region && rate > 0) {
                        const auto capacity = m_linkCapacity.find(link);
                        const double own =
                                shareOf(rowOf(state.next, caller), region).ratio() * rate;
                        double linkHeadroom = serviceLinkCap(state.id, link) - own;
                        if (capacity != m_linkCapacity.end()) {
                            linkHeadroom = std::min(linkHeadroom, capacity->second - use[link]);
                        }
                        const double maxExtra = std::max(linkHeadroom, 0.0) / rate * 1e6;
                        if (static_cast<double>(extra) > maxExtra) {
                            extra = static_cast<std::int64_t>(maxExtra);
                        }
                    }
                    if (extra > 0) {
                        row[region].partsPerMillion += extra;
                    }
                }
                if (largestLoad(region, trial, oldRowsFit) <= usable + Tolerance) {
                    break;
                }
                fraction = i + 1 == MaxHalvings ? 0 : fraction / 2;
            }
            for (const auto &[caller, row] : trial) {
                const double extra =
                        shareOf(row, region).ratio() - shareOf(rowOf(rows, caller), region).ratio();
                use[{ caller, region }] += extra * state.loads.at(caller).rate;
                assigned += extra * state.loads.at(caller).slots;
            }
            rows = trial;
        }
        if (excess - assigned > std::max(1.0, excess) * 0.001) {
            notes.push_back("service " + state.id.value() + ": loss of " + lost.value()
                            + " would leave " + std::to_string(excess - assigned)
                            + " busy slots unassigned");
        }
    }
    return result;
}

PlanMaker::Result PlanMaker::next(const Input &input) const
{
    Result result;
    std::vector<ServiceState> states;
    for (const auto &[id, service] : m_configuration->services) {
        states.push_back(makeState(id, input));
        stepRows(states.back(), result.notes);
        limitToSlots(states.back(), result.notes);
    }
    limitToLinks(states, result.notes);
    for (ServiceState &state : states) {
        revertRowsBeyondCaps(state);
        result.plan.weights[state.id] = state.next;
    }
    std::set<RegionId> serving;
    for (const auto &[id, domain] : m_configuration->topology.domains) {
        serving.insert(domain.region);
    }
    for (const RegionId &it : serving) {
        result.plan.failover[it] = failoverWeights(it, states, input.current, result.notes);
    }
    result.plan.version = input.current != nullptr ? input.current->version.next() : PlanVersion(1);
    result.plan.generation = m_configuration->generation;
    result.plan.maker = m_maker;
    result.isChanged = input.current == nullptr || input.current->weights != result.plan.weights;
    for (const auto &[lost, weights] : result.plan.failover) {
        for (const auto &[service, rows] : weights) {
            const ServiceWeights &old = rowsOf(failoverOf(input.current, lost), service);
            result.isChanged = result.isChanged
                               || largestDifference(rows, old) >= MinFailoverChange.partsPerMillion;
        }
    }
    return result;
}

} // namespace Tarragon
