#pragma once

#include "document/Configuration.h"
#include "steering/Plan.h"
#include "steering/ServiceLoad.h"
#include "steering/ShiftLimits.h"
#include "steering/UtcTime.h"

#include <string>
#include <vector>

namespace Tarragon {

/// Makes the next step of the steering plan. A step moves the weights of the plan in force towards
/// the configured weights, with the load that a region cannot carry moved to regions with headroom.
/// It moves at most the cap of each service and pair of regions. PlanStepGate decides when a step
/// may be made.
///
/// Entries change to the new plan one by one, so a step must fit the capacity with any mixture of
/// old and new rows applied. The load of a region is therefore computed with the larger of its old
/// and new share in each row.
class PlanMaker
{
public:
    /// Fraction of the slots and link capacities that plans use. The rest absorbs load that the
    /// load reports do not show.
    static constexpr double PlannableFraction = 0.9;
    /// Maximum age of a load report. If a report is older, the load of its service counts as
    /// unknown and the rows of the service stay unchanged.
    static constexpr seconds MaxLoadReportAge{ 30 };
    /// Fraction added to a reported load for each second of the report's age, because a surge may
    /// have begun since the report.
    static constexpr double AgeMarginPerSecond = 0.01;
    /// A peak that begins within this time counts as begun, because moving the traffic takes
    /// several steps.
    static constexpr seconds PeakHorizon{ 300 };
    /// Minimum change of a share for a step that only follows the load, so that the plan does not
    /// follow every variation of the load. Steps to the configured weights have no minimum.
    static constexpr Share Deadband{ 20'000 };

    struct Input
    {
        /// The plan in force; nullptr if there is none.
        const Plan *current = nullptr;
        /// Weights that the planning entry applies. The first plan starts from them if there is no
        /// plan in force. Rows that are missing here or in the plan start as configured.
        Weights applied;
        Loads loads;
        RegionSlots slots;
        UtcTime now;
    };

    struct Result
    {
        Plan plan;
        /// Whether the plan differs enough from the one in force to be stored.
        bool isChanged = false;
        /// Limits that reduced the step or prevented it, as texts for the log.
        std::vector<std::string> notes;
    };

    PlanMaker(ConfigurationPtr configuration, InstanceId maker);

    /// Returns the next step.
    Result next(const Input &input) const;

private:
    /// Estimated load of the callers of one region.
    struct CallerLoad
    {
        double slots = 0;
        /// In Mbit/s.
        double rate = 0;
    };

    /// State of one service while a step is computed.
    struct ServiceState
    {
        ServiceId id;
        /// Whether there is a recent load report for each caller region.
        bool isLoadKnown = false;
        std::map<RegionId, CallerLoad> loads;
        /// Slots of each region that the plan may use.
        std::map<RegionId, double> usableSlots;
        /// Rows of the plan in force and rows of the next plan.
        ServiceWeights current;
        ServiceWeights next;
    };

    using Link = std::pair<RegionId, RegionId>;

    ServiceState makeState(const ServiceId &id, const Input &input) const;
    CallerLoad estimateLoad(const ServiceId &service, const ServiceLoad &load, UtcTime now) const;
    ServiceWeights goalRows(const ServiceState &state) const;
    void stepRows(ServiceState &state, std::vector<std::string> &notes) const;
    void limitToSlots(ServiceState &state, std::vector<std::string> &notes) const;
    void limitToLinks(std::vector<ServiceState> &states, std::vector<std::string> &notes) const;
    void revertRowsBeyondCaps(ServiceState &state) const;
    Weights failoverWeights(const RegionId &lost, const std::vector<ServiceState> &states,
                            const Plan *current, std::vector<std::string> &notes) const;
    std::map<Link, double> linkUse(const std::vector<ServiceState> &states) const;
    double serviceLinkCap(const ServiceId &service, const Link &link) const;

    ConfigurationPtr m_configuration;
    InstanceId m_maker;
    Weights m_configuredWeights;
    std::map<ServiceId, ShiftLimits> m_limits;
    /// Rate of each link that plans may use in Mbit/s, the smaller one of both directions.
    std::map<Link, double> m_linkCapacity;
};

} // namespace Tarragon
