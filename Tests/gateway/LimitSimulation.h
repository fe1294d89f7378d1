#pragma once

#include "LimitAudit.h"
#include "LimitScenario.h"
#include "gateway/GatewayState.h"
#include "model/VirtualSchedule.h"
#include "platform/RequestCodec.h"
#include "routing/EntryMembership.h"
#include "routing/TargetPermits.h"

#include <deque>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace Tarragon {

/// What callers got.
struct CallerFigures
{
    int served = 0;
    int refused = 0;
    /// Refusals by the reason of the last placement.
    std::map<RefusalReason, int> refusalReasons;
    int failed = 0;
    /// Refusals of requests that a target has run.
    int untrueRefusals = 0;
    /// Longest time from the arrival of a request at its entry to a refusal.
    microseconds slowestRefusal{ 0 };
    /// Longest time from the arrival of a request at its entry until it was sent.
    microseconds slowestSend{ 0 };

    double servedRatio() const
    {
        return static_cast<double>(served) / std::max(1, served + refused + failed);
    }
};

/// Runs entries of a gateway deployment in virtual time against stand-in targets of which some
/// state a limit (Server-Limit). Entries place requests, gossip and register as the daemon does;
/// the network delays messages and may be cut between entries.
class LimitSimulation
{
public:
    explicit LimitSimulation(const LimitScenario &scenario);
    ~LimitSimulation();
    LimitSimulation(const LimitSimulation &) = delete;
    LimitSimulation &operator=(const LimitSimulation &) = delete;

    /// Schedules an action at a time of the run.
    void at(microseconds time, const std::function<void()> &action);
    /// Runs to the end of the scenario.
    void run();

    /// Kills an entry. Its registration stays in the store.
    void kill(std::size_t entry);
    /// Starts a killed or stopped entry as a new process.
    void start(std::size_t entry);
    /// Ends an entry as on a planned stop: its registration is removed, and responses in progress
    /// are delivered.
    void stop(std::size_t entry);
    /// Suspends an entry; everything that reaches it waits.
    void pause(std::size_t entry, microseconds duration);
    /// Cuts the entries with these indices from all others; targets stay reachable. An empty set
    /// ends the cut.
    void cut(const std::set<std::size_t> &entries) { m_cutOff = entries; }
    /// Restarts a target under its id at another start time.
    void restartTarget(std::size_t target);
    /// Ends a target and gives its address to a new one, of the same service.
    void replaceTarget(std::size_t target);
    /// Makes a target cold for the time, and writes so in the registry that all entries read.
    void makeCold(std::size_t target, microseconds duration);
    /// Sets the evacuated failure domains, of which each entry learns within `maxDelay`.
    void setEvacuated(const std::set<FailureDomainId> &domains, microseconds maxDelay);

    const CallerFigures &callers() const { return m_callers; }
    const LimitAudit &audit(std::size_t target) const { return m_targets[target].audit; }
    /// Times at which requests arrived that entries sent knowing that the target was cold.
    const std::vector<microseconds> &coldArrivals(std::size_t target) const
    {
        return m_targets[target].coldArrivals;
    }
    /// Times at which requests of any entry arrived while the target was cold.
    const std::vector<microseconds> &arrivalsWhileCold(std::size_t target) const
    {
        return m_targets[target].arrivalsWhileCold;
    }
    std::size_t entryCount() const { return m_entries.size(); }
    std::size_t targetCount() const { return m_targets.size(); }
    const FailureDomainId &domainOf(std::size_t target) const
    {
        return m_targets[target].registration.domain;
    }
    microseconds now() const { return m_schedule.now(); }

private:
    struct Request
    {
        RequestId id;
        std::uint64_t object = 0;
        microseconds arrivedAt{ 0 };
        std::set<TargetId> tried;
        int sends = 0;
        int deniedPermits = 0;
        bool hasRun = false;
        /// Failure response of a target that is delivered if no retry succeeds.
        bool hasFallback = false;
    };
    using RequestPtr = std::shared_ptr<Request>;
    /// A process of an entry.
    struct Process
    {
        Process(const GatewaySettings &settings, EntryRecord record, std::uint64_t seed,
                const TargetPermits::AskSlot &ask);

        EntryMembership membership;
        GatewayState state;
        TargetPermits permits;
        bool isServing = true;
        /// Times at which the process first passed on a statement of a limit, by target.
        std::map<TargetId, microseconds> toldAt;
    };
    struct Entry
    {
        InstanceId id;
        FailureDomainId domain;
        RegionId region;
        /// Incremented at each start and kill; events of earlier processes are dropped.
        std::uint64_t epoch = 0;
        std::unique_ptr<Process> process;
        microseconds pausedUntil{ 0 };
    };
    struct Job
    {
        RequestPtr request;
        std::size_t entry = 0;
        std::uint64_t epoch = 0;
        Placement placement;
        std::uint64_t targetStartMs = 0;
        /// Whether the entry knew that the target was cold.
        bool isToCold = false;
        microseconds sentAt{ 0 };
    };
    struct Target
    {
        DiscoveredTarget registration;
        bool isLimited = false;
        int running = 0;
        std::deque<Job> waiting;
        std::optional<StatedLimit> lastStated;
        LimitAudit audit;
        std::vector<microseconds> coldArrivals;
        microseconds coldUntil{ 0 };
        std::vector<microseconds> arrivalsWhileCold;
    };

    MonotonicTime clock() const;
    double uniform() { return std::uniform_real_distribution<double>(0, 1)(m_random); }
    microseconds delayBetween(const FailureDomainId &a, const FailureDomainId &b);
    /// Runs the action on the process that the entry has now, after a pause of the entry.
    void onEntry(std::size_t entry, std::uint64_t epoch, const std::function<void()> &action);
    bool isConnected(std::size_t a, std::size_t b) const;
    /// Whether the entry runs a build that does not know limits.
    bool isOldBuild(std::size_t entry) const { return entry < std::size_t(m_scenario.oldEntries); }

    void scheduleArrival();
    void dispatch(std::size_t entry, const RequestPtr &request);
    void obtainPermit(std::size_t entry, const RequestPtr &request, const Placement &placement);
    void ask(std::size_t entry, std::uint64_t epoch, const InstanceId &issuer,
             const PermitRequest &question, const TargetPermits::ReplySlot &replied);
    void send(std::size_t entry, const RequestPtr &request, const Placement &placement);
    void refuse(const RequestPtr &request, RefusalReason reason);
    void arriveAtTarget(const Job &job);
    void startJob(std::size_t target, const Job &job);
    void respond(std::size_t target, const Job &job, int status, bool isExecuted);
    void onResponse(const Job &job, const Platform::TargetResponse &response);
    void retry(std::size_t entry, const RequestPtr &request, bool hasFailed);

    void gossip(std::size_t entry, std::uint64_t epoch);
    std::vector<TargetLimitChange> limitsFrom(std::size_t entry);
    void mergeLimits(std::size_t entry, const std::vector<TargetLimitChange> &limits);
    void refreshRecords(std::size_t entry, std::uint64_t epoch);
    void refreshTargets();
    std::vector<EntryRecord> records() const;
    StatedLimit statedBy(const Target &target) const;
    void noteLimits();

    LimitScenario m_scenario;
    VirtualSchedule m_schedule;
    std::mt19937_64 m_random;
    Route m_route;
    HostedService m_service;
    std::map<FailureDomainId, RegionId> m_regionOfDomain;
    std::vector<Entry> m_entries;
    /// Registrations in the store.
    std::map<InstanceId, EntryRecord> m_registrations;
    std::vector<Target> m_targets;
    std::map<TargetId, std::size_t> m_targetIndex;
    std::set<std::size_t> m_cutOff;
    CallerFigures m_callers;
    std::uint64_t m_requestCount = 0;
};

} // namespace Tarragon
