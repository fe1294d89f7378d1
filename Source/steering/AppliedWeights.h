#pragma once

#include "document/Configuration.h"
#include "steering/Plan.h"
#include "steering/ShiftLimits.h"
#include "steering/Weights.h"

#include <deque>
#include <map>
#include <set>

namespace Tarragon {

/// Holds the weights that one entry applies and moves them towards those of the plan in force, or
/// towards the plan's failover weights while a region is lost. Within any window, which is the
/// period of a cap plus the lookup TTL, the weights move by at most the cap of each pair of
/// regions, whichever plans arrive and whichever regions are lost. Traffic that has not been moved
/// away from a lost region yet stays assigned to this region, and LookupDecider refuses it.
///
/// The plan's failover weights are checked for the loss of one region at a time. The failover of a
/// second region therefore begins only when the weights have returned from the failover of the
/// first and two windows have passed, in which the weights of the other entries return as well.
/// Until then the traffic of the second region is refused.
class AppliedWeights
{
public:
    explicit AppliedWeights(ConfigurationPtr configuration);

    /// Applies a newer document. Rows of new services and caller regions start at once with the row
    /// of the plan or, if the plan has none, of the document. Existing rows follow only the plan.
    void setConfiguration(ConfigurationPtr configuration);

    /// Sets the weights at the start of the process: weights() and failover() of a peer; without a
    /// peer, the weights of the newest known plan or, without a plan, configuredWeights() and no
    /// failover region. The weights then stay unchanged for one window, because the peers may have
    /// used up the caps just before.
    void start(const Weights &weights, const RegionId &failover, MonotonicTime now);

    /// Sets the plan to follow. Ignores a plan whose version is not greater than the current one's.
    void setPlan(PlanPtr plan);

    /// Sets the regions that the membership considers lost.
    void setLostRegions(std::set<RegionId> regions);

    /// Moves the weights towards those of the plan or its failover as far as the caps allow now.
    /// Returns whether a weight changed. Must be called at least every second and after each change
    /// of the plan, the document or the lost regions.
    bool advance(MonotonicTime now);

    const Weights &weights() const { return m_weights; }

    /// Returns the region whose failover weights apply, or whose failover has ended while the rows
    /// are still returning to the plan's weights; empty if there is none.
    const RegionId &failover() const { return m_failoverRegion; }

    /// Returns the version of the plan once all rows have reached its weights or failover weights,
    /// and 0 while weights are still moving. Entries acknowledge this version to PlanStepGate.
    PlanVersion fullyApplied() const;

    /// Returns the newest plan that was set; nullptr if there is none.
    const PlanPtr &plan() const { return m_plan; }

private:
    /// A row that was in force until it was replaced.
    struct PastRow
    {
        WeightRow row;
        MonotonicTime replacedAt;
    };

    using RowKey = std::pair<ServiceId, RegionId>;

    void chooseFailoverRegion(MonotonicTime now);
    bool planRoutesTo(const RegionId &region) const;
    WeightRow goalRow(const ServiceId &service, const RegionId &caller) const;
    bool advanceRow(const ServiceId &service, const RegionId &caller, WeightRow &row,
                    const ShiftLimits &limits, MonotonicTime now);

    ConfigurationPtr m_configuration;
    Weights m_configuredWeights;
    std::map<ServiceId, ShiftLimits> m_limits;
    PlanPtr m_plan;
    std::set<RegionId> m_lostRegions;
    RegionId m_failoverRegion;
    /// No failover begins before this time.
    MonotonicTime m_failoverNotBefore = MonotonicTime::min();
    Weights m_weights;
    /// Rows replaced within the last window, the oldest first.
    std::map<RowKey, std::deque<PastRow>> m_pastRows;
    /// The rows of a service do not move before this time.
    std::map<ServiceId, MonotonicTime> m_heldUntil;
    /// Whether all rows have reached their goal.
    bool m_isSettled = false;
};

} // namespace Tarragon
