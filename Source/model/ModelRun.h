#pragma once

#include "model/LoadPlan.h"
#include "model/LoadResult.h"
#include "model/ModelTarget.h"
#include "model/PlacementPolicy.h"
#include "model/VirtualSchedule.h"
#include "steering/RetryBudget.h"

#include <functional>
#include <memory>
#include <random>
#include <set>

namespace Tarragon {

/// Simulates a load in virtual time with the code that places requests, and returns what callers
/// experienced. The same plan, policy and seed give the same result. Congested links, CPU usage of
/// entries and lost messages are not modelled.
template<PlacementPolicy Policy>
class ModelRun
{
public:
    using MakePolicy =
            std::function<std::unique_ptr<Policy>(const EntryLocality &, const HostedService &)>;

    ModelRun(const LoadPlan &plan, std::uint64_t seed, MakePolicy makePolicy);
    ModelRun(const ModelRun &) = delete;
    ModelRun &operator=(const ModelRun &) = delete;

    /// Simulates the load. Must be called only once. The name of the policy is copied to the
    /// result.
    LoadResult run(const std::string &policyName);

private:
    struct Entry
    {
        const ModelDomain *domain = nullptr;
        /// Incremented with each start. Attempts of earlier incarnations are lost.
        int incarnation = 0;
        std::map<ServiceId, std::unique_ptr<Policy>> policies;
        std::map<ServiceId, RetryBudget> budgets;
    };
    /// A request from the caller's point of view; covers all its attempts.
    struct Request
    {
        const ModelRoute *model = nullptr;
        const Route *route = nullptr;
        const ModelDomain *domain = nullptr;
        std::uint64_t id = 0;
        std::optional<std::uint64_t> object;
        microseconds begin{ 0 };
        /// Number of attempts that the caller has started.
        int callerAttempts = 0;
    };
    /// One attempt of a caller at an entry.
    struct Attempt
    {
        Request request;
        Entry *entry = nullptr;
        /// Incarnation of the entry when the attempt began.
        int entryIncarnation = 0;
        std::set<TargetId> tried;
        /// Number of targets that the request was sent to, without unreachable ones.
        int sends = 0;
        /// Target that is working on the request now.
        std::optional<TargetId> target;
        microseconds sentAt{ 0 };
        bool hasEnded = false;
    };
    using AttemptPtr = std::shared_ptr<Attempt>;

    void makeTargets();
    void makeEntries();
    void startEntry(Entry &entry);
    void publishTargets();
    void scheduleFault(const InjectedFault &fault);
    void applyFault(const InjectedFault &fault, bool begins);
    void applyToTarget(const InjectedFault &fault, ModelTarget &target, bool begins);
    void scheduleArrival(const ModelRoute &route, const ModelDomain &domain);
    void scheduleWindowEnd();

    void startAttempt(Request request);
    void arrive(const AttemptPtr &attempt);
    void place(const AttemptPtr &attempt);
    void send(const AttemptPtr &attempt, const Placement &placement);
    void onResult(const AttemptPtr &attempt, const Placement &placement,
                  const TargetResult &result);
    void onUnreachable(const AttemptPtr &attempt);
    void endSend(const AttemptPtr &attempt, SendOutcome outcome, bool hadToWait);
    void onDeadline(const AttemptPtr &attempt);
    /// Whether the entry has restarted since the attempt began, so that the attempt is lost.
    bool hasEntryRestarted(const Attempt &attempt) const
    {
        return attempt.entryIncarnation != attempt.entry->incarnation;
    }
    void onRefused(Request request, microseconds retryAfter);
    void count(const Request &request, int LoadTally::*member);

    MonotonicTime clock() const;
    microseconds delay(const FailureDomainId &from, const FailureDomainId &to) const;
    LoadWindow &windowAt(microseconds time);

    const LoadPlan &m_plan;
    std::uint64_t m_seed;
    MakePolicy m_makePolicy;
    VirtualSchedule m_schedule;
    std::mt19937_64 m_random;
    std::map<RouteName, Route> m_routes;
    std::map<TargetId, std::unique_ptr<ModelTarget>> m_targets;
    /// Targets as entries see them; changes arrive after LoadPlan::registryLag.
    TargetRegistry::Targets m_registeredTargets;
    std::vector<std::unique_ptr<Entry>> m_entries;
    double m_trafficFactor = 1;
    std::uint64_t m_nextRequest = 0;
    LoadResult m_result;
};

} // namespace Tarragon
