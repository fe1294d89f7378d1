#pragma once

#include "steering/AppliedWeights.h"
#include "steering/PlanMaker.h"
#include "steering/PlanStepGate.h"

#include <array>
#include <deque>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace Tarragon::Testing {

/// Mechanisms that a run uses. Runs without one of them show that it is needed.
struct SchedulePolicy
{
    /// Whether entries limit the rate at which their weights move.
    bool hasLimiter = true;
    /// Whether a plan step waits for acknowledgements and the hold.
    bool hasGate = true;
    /// Whether failover weights are checked against the capacity of the other regions.
    bool checksFailover = true;
};

/// Kinds of faults that a schedule may contain.
struct ScheduleOptions
{
    /// Whether whole regions are lost.
    bool losesRegions = false;
};

/// Largest values observed in a run, relative to the allowed ones; a value above 1 breaks an
/// invariant.
struct ScheduleResult
{
    /// Moved share of the callers of one entry within a cap's period, relative to the cap.
    double worstEntryMove = 0;
    /// Moved share of all callers of a region within a cap's period, relative to the cap.
    double worstRegionMove = 0;
    /// Load of a region relative to its slots.
    double worstLoad = 0;
    int planSteps = 0;
    /// Description of the first value above 1, with its seed and tick.
    std::string finding;
};

/// Simulates six failure domains with one entry each, in three regions, under a random schedule in
/// virtual time with ticks of one second. Plans arrive late, out of order or not at all; domains
/// are partitioned and return; entries stop and restart with another clock; the planner changes and
/// reads stale plans; load reports are late; weights are edited. Callers use a lookup response for
/// the lookup TTL and then send the next lookup to the first entry of their list that is up. The
/// schedule depends only on the seed, not on the policy.
class ScheduleModel
{
public:
    ScheduleModel(unsigned seed, ScheduleOptions options, SchedulePolicy policy);

    ScheduleResult run();

private:
    static constexpr int Ticks = 400;
    static constexpr std::size_t EntryCount = 6;
    static constexpr std::size_t RegionCount = 3;
    static constexpr double SlotsPerRegion = 100;

    /// A span of ticks from begin up to but without end.
    struct Span
    {
        int begin = 0;
        int end = 0;
        bool contains(int tick) const { return begin <= tick && tick < end; }
    };

    struct Acknowledgement
    {
        std::size_t entry = 0;
        int start = 0;
        PlanVersion version;
    };

    struct Entry
    {
        FailureDomainId domain;
        InstanceId id;
        std::size_t region = 0;
        std::vector<Span> partitions;
        std::vector<Span> stops;
        std::vector<Span> drains;
        bool isUp = false;
        int start = 0;
        MonotonicTime clockStart;
        std::unique_ptr<AppliedWeights> weights;
        std::unique_ptr<PlanStepGate> gate;
        /// Plans and acknowledgements in transit, by the tick of their arrival.
        std::multimap<int, PlanPtr> plans;
        std::multimap<int, Acknowledgement> acknowledgements;
        std::set<RegionId> lost;
    };

    using Shares = std::vector<double>;

    /// Shares of the regions that callers used, and until when.
    struct UsedShares
    {
        Shares shares;
        /// Number of the start of the entry that sent the lookup response, counted over the starts
        /// of all entries.
        int entryStart = 0;
        int lastTick = 0;
        /// Moved share for each pair of regions from these shares to the current ones.
        std::array<double, RegionCount * RegionCount> moves{};
    };

    /// Callers of one region that have the same list of entries and send lookups at the same time.
    struct CallerGroup
    {
        std::size_t region = 0;
        std::vector<std::size_t> entries;
        double weight = 0;
        int lastLookupTick = 0;
        /// Whether an entry responded to the last lookup; otherwise the callers send no requests.
        bool hasResponse = false;
        /// Shares used within the last period, the current ones last.
        std::deque<UsedShares> used;
    };

    int random(int low, int high);
    Span randomSpan(int minLength, int maxLength);
    void makeConfiguration();
    Shares sharesOf(const Entry &entry, std::size_t callerRegion) const;
    std::size_t newestPlanAt(int tick) const;
    PlanMaker::Input planInput(int tick) const;
    void makeSchedule();
    /// Returns a random number for a message that does not depend on the order of calls.
    std::uint32_t draw(int tick, std::size_t entry, std::uint32_t purpose) const;
    bool isLost(std::size_t region, int tick) const;
    bool isPartitioned(const Entry &entry, int tick) const;
    bool isDrained(const Entry &entry, int tick) const;
    MonotonicTime clock(const Entry &entry, int tick) const;
    double load(std::size_t region, int tick) const;
    const ConfigurationPtr &configuration(int tick) const;

    void startAndStop(int tick);
    void deliver(int tick);
    void plan(int tick);
    void publish(const PlanPtr &plan, int tick);
    void lookUp(int tick);
    void checkRegionMoves(int tick);
    void checkLoad(int tick);
    void recordWorst(double &worst, double value, int tick, const std::string &what);

    unsigned m_seed;
    ScheduleOptions m_options;
    SchedulePolicy m_policy;
    std::mt19937 m_random;
    /// Documents by the tick from which they are in force.
    std::map<int, ConfigurationPtr> m_configurations;
    std::map<int, std::unique_ptr<PlanMaker>> m_makers;
    ConfigurationPtr m_withoutCaps;
    Share m_cap;
    seconds m_period{ 20 };
    std::vector<RegionId> m_regions;
    std::vector<Entry> m_entries;
    std::vector<CallerGroup> m_callerGroups;
    std::map<std::size_t, std::vector<Span>> m_losses;
    std::array<double, RegionCount> m_baseLoad{};
    int m_starts = 0;
    /// Plans in the order in which they were stored, and the tick of each.
    std::vector<PlanPtr> m_plans;
    std::vector<int> m_planTicks;
    ScheduleResult m_result;
};

} // namespace Tarragon::Testing
