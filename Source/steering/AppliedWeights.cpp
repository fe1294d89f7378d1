#include "steering/AppliedWeights.h"

#include "steering/ConfiguredWeights.h"

#include <algorithm>
#include <utility>

namespace Tarragon {

namespace {

/// Maximum number of moves of a row within a window. The minimum time between two moves is the
/// window divided by this number, which bounds the past rows kept for each row.
constexpr int MovesPerWindow = 16;

const WeightRow *findRow(const Weights &weights, const ServiceId &service, const RegionId &caller)
{
    const auto rows = weights.find(service);
    if (rows == weights.end()) {
        return nullptr;
    }
    const auto row = rows->second.find(caller);
    return row == rows->second.end() ? nullptr : &row->second;
}

} // namespace

AppliedWeights::AppliedWeights(ConfigurationPtr configuration)
{
    setConfiguration(std::move(configuration));
}

void AppliedWeights::setConfiguration(ConfigurationPtr configuration)
{
    m_configuration = std::move(configuration);
    m_configuredWeights = configuredWeights(*m_configuration);
    m_limits.clear();
    for (const auto &[id, service] : m_configuration->services) {
        m_limits.emplace(id, ShiftLimits(*m_configuration, id));
    }
    m_isSettled = false;
}

void AppliedWeights::start(const Weights &weights, const RegionId &failover, MonotonicTime now)
{
    m_weights = weights;
    m_failoverRegion = failover;
    m_pastRows.clear();
    for (const auto &[service, limits] : m_limits) {
        m_heldUntil[service] = now + limits.maxWindow();
    }
    m_isSettled = false;
}

void AppliedWeights::setPlan(PlanPtr plan)
{
    if (plan != nullptr && (m_plan == nullptr || m_plan->version < plan->version)) {
        m_plan = std::move(plan);
        m_isSettled = false;
    }
}

void AppliedWeights::setLostRegions(std::set<RegionId> regions)
{
    if (regions != m_lostRegions) {
        m_lostRegions = std::move(regions);
        m_isSettled = false;
    }
}

bool AppliedWeights::planRoutesTo(const RegionId &region) const
{
    for (const auto &[service, rows] : m_plan->weights) {
        for (const auto &[caller, row] : rows) {
            if (shareOf(row, region).partsPerMillion > 0) {
                return true;
            }
        }
    }
    return false;
}

void AppliedWeights::chooseFailoverRegion(MonotonicTime now)
{
    if (m_plan == nullptr) {
        return;
    }
    if (!m_failoverRegion.isEmpty()) {
        const bool isOver =
                m_lostRegions.count(m_failoverRegion) == 0 || !planRoutesTo(m_failoverRegion);
        if (!isOver || !m_isSettled) {
            return;
        }
        microseconds window{ 0 };
        for (const auto &[service, limits] : m_limits) {
            window = std::max(window, limits.maxWindow());
        }
        m_failoverRegion = RegionId();
        m_failoverNotBefore = now + 2 * window;
    }
    if (now < m_failoverNotBefore) {
        return;
    }
    // The regions are ordered by id, so entries that see the same regions lost choose the same one.
    const auto it = std::find_if(m_lostRegions.begin(), m_lostRegions.end(),
                                 [&](const RegionId &region) { return planRoutesTo(region); });
    if (it != m_lostRegions.end()) {
        m_failoverRegion = *it;
        m_isSettled = false;
    }
}

/// Returns the row to move to; empty if the plan has none. The document's own weights are never the
/// goal: entries that followed a new document at once would move without the steps of the plan.
WeightRow AppliedWeights::goalRow(const ServiceId &service, const RegionId &caller) const
{
    const WeightRow *row = m_plan ? findRow(m_plan->weights, service, caller) : nullptr;
    if (row == nullptr) {
        return {};
    }
    if (m_lostRegions.count(m_failoverRegion) == 0
        || shareOf(*row, m_failoverRegion).partsPerMillion == 0) {
        return *row;
    }
    const auto failover = m_plan->failover.find(m_failoverRegion);
    const WeightRow *replacement = failover == m_plan->failover.end()
                                           ? nullptr
                                           : findRow(failover->second, service, caller);
    if (replacement == nullptr) {
        return *row;
    }
    WeightRow result = *replacement;
    // What the failover row leaves unassigned stays with the lost region, where it is refused.
    const std::int64_t unassigned =
            Share::whole().partsPerMillion - totalOf(result).partsPerMillion;
    if (unassigned > 0) {
        result[m_failoverRegion] = Share{ unassigned };
    }
    return result;
}

bool AppliedWeights::advanceRow(const ServiceId &service, const RegionId &caller, WeightRow &row,
                                const ShiftLimits &limits, MonotonicTime now)
{
    const WeightRow goal = goalRow(service, caller);
    if (row.empty()) {
        const WeightRow *first =
                goal.empty() ? findRow(m_configuredWeights, service, caller) : &goal;
        row = first == nullptr ? WeightRow() : *first;
        return !row.empty();
    }
    if (goal.empty() || goal == row) {
        return false;
    }
    m_isSettled = false;
    const auto held = m_heldUntil.find(service);
    if (held != m_heldUntil.end() && now < held->second) {
        return false;
    }
    std::deque<PastRow> &past = m_pastRows[{ service, caller }];
    const microseconds window = limits.maxWindow();
    while (!past.empty() && now - past.front().replacedAt >= window) {
        past.pop_front();
    }
    if (!past.empty() && now - past.back().replacedAt < window / MovesPerWindow) {
        return false;
    }
    std::vector<ShiftLimits::PastRow> rows = { { row, microseconds(0) } };
    for (const PastRow &it : past) {
        rows.push_back({ it.row, now - it.replacedAt });
    }
    WeightRow next = limits.step(row, goal, rows);
    if (next == row) {
        return false;
    }
    past.push_back({ std::move(row), now });
    row = std::move(next);
    return true;
}

bool AppliedWeights::advance(MonotonicTime now)
{
    chooseFailoverRegion(now);
    if (m_isSettled) {
        return false;
    }
    m_isSettled = true;
    bool changed = false;
    for (const auto &[service, settings] : m_configuration->services) {
        const ShiftLimits &limits = m_limits.at(service);
        ServiceWeights &rows = m_weights[service];
        for (const auto &[caller, region] : m_configuration->topology.regions) {
            changed = advanceRow(service, caller, rows[caller], limits, now) || changed;
        }
    }
    return changed;
}

PlanVersion AppliedWeights::fullyApplied() const
{
    return m_isSettled && m_plan ? m_plan->version : PlanVersion();
}

} // namespace Tarragon
