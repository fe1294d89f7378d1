#pragma once

#include "document/Configuration.h"
#include "steering/Plan.h"
#include "steering/ShiftLimits.h"
#include "steering/Weights.h"

#include <deque>
#include <map>
#include <set>

namespace Tarragon {

/// The weights that one entry applies. They follow the plan in force, or its failover weights
/// while a region is lost, but over any window of a cap's period and the lookup TTL they move at
/// most the cap of each pair of regions, whatever plans arrive and whatever is lost. Traffic of a
/// lost region that has not moved yet keeps that region and is refused by LookupDecider.
///
/// The plan's failover weights are checked for the loss of one region. The failover of a second
/// region therefore begins only when the weights are back from that of the first and two windows
/// have passed, in which the other entries come back as well. Until then the second region's
/// traffic is refused.
class AppliedWeights
{
public:
    explicit AppliedWeights(ConfigurationPtr configuration);

    /// Takes a newer document. Rows of new services and caller regions start at once with those of
    /// the plan or else of the document. Other rows do not follow the document but the plan.
    void setConfiguration(ConfigurationPtr configuration);

    /// Sets the weights at the start of the process: weights() and failover() of a peer; without
    /// any peer, the weights of the newest plan known or else configuredWeights(). They are then
    /// held for one window, because the peers may have used up the cap just before.
    void start(const Weights &weights, const RegionId &failover, MonotonicTime now);

    /// Takes a plan unless a greater or equal version was taken before.
    void setPlan(PlanPtr plan);

    /// Sets the regions that the membership considers lost.
    void setLostRegions(std::set<RegionId> regions);

    /// Moves the weights towards their target as far as the caps allow now. Returns whether they
    /// changed. To be called at least every second and after each change of the inputs.
    bool advance(MonotonicTime now);

    const Weights &weights() const { return m_weights; }

    /// The region whose failover weights apply, or from whose weights the rows are coming back;
    /// empty if there is none.
    const RegionId &failover() const { return m_failover; }

    /// The plan whose weights are applied in full, which is what a failure domain acknowledges;
    /// 0 while weights are still moving.
    PlanVersion fullyApplied() const;

    /// The newest plan taken.
    const PlanPtr &plan() const { return m_plan; }

private:
    struct PastRow
    {
        WeightRow row;
        MonotonicTime replacedAt;
    };

    using RowKey = std::pair<ServiceId, RegionId>;

    void chooseFailover(MonotonicTime now);
    bool planUses(const RegionId &region) const;
    WeightRow target(const ServiceId &service, const RegionId &caller) const;
    bool advanceRow(const ServiceId &service, const RegionId &caller, WeightRow &row,
                    const ShiftLimits &limits, MonotonicTime now);

    ConfigurationPtr m_configuration;
    Weights m_configured;
    std::map<ServiceId, ShiftLimits> m_limits;
    PlanPtr m_plan;
    std::set<RegionId> m_lost;
    RegionId m_failover;
    /// No failover begins before.
    MonotonicTime m_failoverFrom = MonotonicTime::min();
    Weights m_weights;
    std::map<RowKey, std::deque<PastRow>> m_past;
    std::map<ServiceId, MonotonicTime> m_heldUntil;
    /// Whether all rows are at their target.
    bool m_isSettled = false;
};

} // namespace Tarragon
