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

/// Plays a load in virtual time against the code that places requests, and tells what callers got.
/// The same plan, policy and seed give the same result. Not modelled: links that fill up, the
/// processors of entries, lost messages.
template<PlacementPolicy Policy>
class ModelRun
{
public:
    using MakePolicy =
            std::function<std::unique_ptr<Policy>(const EntryLocality &, const HostedService &)>;

    ModelRun(const LoadPlan &plan, std::uint64_t seed, MakePolicy makePolicy);
    ModelRun(const ModelRun &) = delete;
    ModelRun &operator=(const ModelRun &) = delete;

    /// Plays the load. To be called once. The policy's name is for the result.
    LoadResult run(const std::string &policyName);

private:
    struct Entry
    {
        const ModelDomain *domain = nullptr;
        /// Raised with each start; what came before is lost.
        int start = 0;
        std::map<ServiceId, std::unique_ptr<Policy>> policies;
        std::map<ServiceId, RetryBudget> budgets;
    };
    /// A request as its caller sees it.
    struct Request
    {
        const ModelRoute *model = nullptr;
        const Route *route = nullptr;
        const ModelDomain *domain = nullptr;
        std::uint64_t id = 0;
        std::optional<std::uint64_t> object;
        microseconds begin{ 0 };
        int asks = 0;
    };
    /// One attempt of a caller at an entry.
    struct Attempt
    {
        Request request;
        Entry *entry = nullptr;
        int start = 0;
        std::set<TargetId> tried;
        int sends = 0;
        /// Where it is at present.
        std::optional<TargetId> target;
        microseconds sentAt{ 0 };
        bool hasEnded = false;
    };
    using AttemptPtr = std::shared_ptr<Attempt>;

    void makeTargets();
    void makeEntries();
    void startEntry(Entry &entry);
    void publishTargets();
    void scheduleTrouble(const ModelTrouble &trouble);
    void applyTrouble(const ModelTrouble &trouble, bool begins);
    void applyToTarget(const ModelTrouble &trouble, ModelTarget &target, bool begins);
    void scheduleArrival(const ModelRoute &route, const ModelDomain &domain);
    void scheduleWindowEnd();

    void ask(Request request);
    void arrive(const AttemptPtr &attempt);
    void place(const AttemptPtr &attempt);
    void send(const AttemptPtr &attempt, const Placement &placement);
    void onAnswer(const AttemptPtr &attempt, const Placement &placement,
                  const TargetAnswer &answer);
    void onUnreachable(const AttemptPtr &attempt);
    void endSend(const AttemptPtr &attempt, SendOutcome outcome, bool hadToWait);
    void onDeadline(const AttemptPtr &attempt);
    bool isLost(const Attempt &attempt) const { return attempt.start != attempt.entry->start; }
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
    TargetRegistry::Targets m_known;
    std::vector<std::unique_ptr<Entry>> m_entries;
    double m_trafficFactor = 1;
    std::uint64_t m_nextRequest = 0;
    LoadResult m_result;
};

} // namespace Tarragon
