#pragma once

#include "document/Configuration.h"
#include "steering/CivilTime.h"
#include "steering/Plan.h"
#include "steering/ServiceLoad.h"
#include "steering/ShiftLimits.h"

#include <string>
#include <vector>

namespace Tarragon {

/// Makes the next step of the steering plan. A step goes from the plan in force towards the
/// configured weights, away from regions that cannot carry them, by at most the cap of each
/// (service, from, to). PlanStepGate decides when a step may be made.
///
/// A step must fit the capacity while entries change over one by one, in any mixture of the old
/// and new rows. Hence what counts for a region is the larger share of both, for each row.
class PlanMaker
{
public:
    /// Part of the slots and links that plans use. The rest absorbs what reports have not shown.
    static constexpr double PlannableUse = 0.9;
    /// Reports older than this are unknown load: rows of the service then stay as they are.
    static constexpr seconds MaxReportAge{ 30 };
    /// Added to a reported load for each second of its age, because a surge may have begun since.
    static constexpr double AgeMarginPerSecond = 0.01;
    /// A peak that begins within this time counts as begun, because shifts take several steps.
    static constexpr seconds PeakHorizon{ 300 };
    /// Smaller changes that only follow the load are not made, so that the plan does not follow
    /// every variation of it.
    static constexpr Share Deadband{ 20'000 };

    struct Input
    {
        /// The plan in force; nullptr if there is none.
        const Plan *current = nullptr;
        /// Where the first plan starts if there is none: what the planner applies itself. Rows that
        /// are missing here or in the plan start as configured.
        Weights applied;
        Loads loads;
        RegionSlots slots;
        CivilTime now;
    };

    struct Result
    {
        Plan plan;
        /// Whether the plan differs enough from the one in force to be stored.
        bool isChanged = false;
        /// What limited the step, for the log.
        std::vector<std::string> notes;
    };

    PlanMaker(ConfigurationPtr configuration, InstanceId maker);

    /// The next step.
    Result next(const Input &input) const;

private:
    struct CallerLoad
    {
        double slots = 0;
        double rate = 0;
    };

    /// What is known about one service while a step is made.
    struct ServiceState
    {
        ServiceId id;
        bool isLoadKnown = false;
        std::map<RegionId, CallerLoad> loads;
        std::map<RegionId, double> usable;
        ServiceWeights current;
        ServiceWeights next;
    };

    using Link = std::pair<RegionId, RegionId>;

    ServiceState makeState(const ServiceId &id, const Input &input) const;
    CallerLoad estimate(const ServiceId &service, const ServiceLoad &load, CivilTime now) const;
    ServiceWeights target(const ServiceState &state) const;
    void makeRows(ServiceState &state, std::vector<std::string> &notes) const;
    void fitSlots(ServiceState &state, std::vector<std::string> &notes) const;
    void fitLinks(std::vector<ServiceState> &states, std::vector<std::string> &notes) const;
    void restoreCaps(ServiceState &state) const;
    Weights failoverFor(const RegionId &lost, const std::vector<ServiceState> &states,
                        const Plan *current, std::vector<std::string> &notes) const;
    std::map<Link, double> linkUse(const std::vector<ServiceState> &states) const;
    double serviceLinkCap(const ServiceId &service, const Link &link) const;

    ConfigurationPtr m_configuration;
    InstanceId m_maker;
    Weights m_configured;
    std::map<ServiceId, ShiftLimits> m_limits;
    /// Plannable rate of each link, the smaller of both directions.
    std::map<Link, double> m_linkCapacity;
};

} // namespace Tarragon
