#pragma once

#include "model/VirtualSchedule.h"
#include "routing/EntryMembership.h"
#include "routing/RequestTrials.h"
#include "routing/SuspectNews.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace Tarragon {

/// Deployment and load of a SuspectSimulation.
struct SuspectScenario
{
    int entries = 9;
    int targets = 24;
    /// Harmless requests a second of all callers together; half of them may not be repeated.
    double requestsPerSecond = 150;
    /// Requests that end each target that begins to run them, and the time between attempts of one.
    int harmfulRequests = 3;
    microseconds harmfulPeriod{ 150'000 };
    /// Whether the harmful requests may be repeated.
    bool areHarmfulRepeatable = true;
    int slotsPerTarget = 6;
    /// Time after its end after which a target is back, as a new process.
    microseconds targetRestartTime{ 3'500'000 };
    microseconds duration{ 40'000'000 };
    /// Whether entries act on what is known of suspects.
    bool hasTrials = true;
    std::uint64_t seed = 1;
};

/// What became of one harmful request.
struct HarmfulFigures
{
    int ended = 0;
    /// Arrivals at targets in attempts that entries in touch sent later than the contact time after
    /// the third ending.
    int lateAttempts = 0;
    microseconds thirdEndingAt{ 0 };
};

/// Runs the entries of a gateway deployment in virtual time as far as they handle requests that end
/// targets: suspicion, trials and the exchange of what is known. Targets end when they begin to run
/// a harmful request; all requests at them lose their connections.
class SuspectSimulation
{
public:
    explicit SuspectSimulation(const SuspectScenario &scenario);
    ~SuspectSimulation();
    SuspectSimulation(const SuspectSimulation &) = delete;
    SuspectSimulation &operator=(const SuspectSimulation &) = delete;

    /// Schedules an action at a time of the run.
    void at(microseconds time, const std::function<void()> &action);
    void run();
    /// Replaces the process of an entry by a new one, which knows nothing.
    void restart(std::size_t entry);
    /// Suspends an entry; everything that reaches it waits.
    void pause(std::size_t entry, microseconds duration);
    /// Cuts the entries off from all others for the duration; targets stay reachable.
    void cut(const std::set<std::size_t> &entries, microseconds duration);

    const std::vector<HarmfulFigures> &harmful() const { return m_harmful; }
    /// Returns the fraction of harmless requests with an answer that arrived from `from` on.
    double answeredRatio(microseconds from) const;
    std::size_t endedTargets() const { return m_endedTargets; }
    std::size_t entryCount() const { return m_entries.size(); }

private:
    struct Request
    {
        std::uint64_t id = 0;
        RequestFingerprint fingerprint;
        bool isRepeatable = true;
        /// Index of the harmful request; nothing for a harmless one.
        std::optional<std::size_t> harmful;
        microseconds arrivedAt{ 0 };
        std::set<std::size_t> tried;
        int sends = 0;
        bool hasTrial = false;
        bool hasEnded = false;
    };
    using RequestPtr = std::shared_ptr<Request>;
    struct Process
    {
        Process(const EntryRecord &record, std::uint64_t seed, RequestTrials::AskSlot ask,
                RequestTrials::EndSlot end, SuspectNews::SendSlot send);

        EntryMembership membership;
        SuspectRequests suspects;
        RequestTrials trials;
        SuspectNews news;
        /// Targets to which connections were refused, until this time.
        std::map<std::size_t, microseconds> unreachableUntil;
    };
    struct Entry
    {
        EntryRecord record;
        /// Incremented at each start; events of earlier processes are dropped.
        std::uint64_t epoch = 0;
        std::unique_ptr<Process> process;
        microseconds pausedUntil{ 0 };
        microseconds troubledUntil{ 0 };
    };
    struct Job
    {
        RequestPtr request;
        std::size_t entry = 0;
        std::uint64_t epoch = 0;
    };
    struct Target
    {
        FailureDomainId domain;
        std::uint64_t start = 1;
        bool isUp = true;
        /// Requests at the target, the running ones first.
        std::vector<Job> jobs;
        int running = 0;
    };
    struct Outcome
    {
        microseconds arrivedAt{ 0 };
        bool isAnswered = false;
    };

    MonotonicTime clock() const;
    microseconds delay(const FailureDomainId &a, const FailureDomainId &b);
    void onEntry(std::size_t entry, std::uint64_t epoch, const std::function<void()> &action);
    bool isConnected(std::size_t a, std::size_t b) const;
    /// Runs an action at another entry after the delay between them, unless they are cut off.
    void deliver(std::size_t from, std::size_t to, const std::function<void()> &action);
    std::size_t indexOf(const InstanceId &instance) const;

    void start(std::size_t entry);
    void gossip(std::size_t entry, std::uint64_t epoch);
    void flushNews(std::size_t entry, std::uint64_t epoch);
    void ask(std::size_t entry, std::uint64_t epoch, const InstanceId &issuer,
             const TrialRequest &question, const RequestTrials::ReplySlot &replied);
    void scheduleHarmless();
    void scheduleHarmful(std::size_t index);
    void arrive(const RequestPtr &request);
    void dispatch(std::size_t entry, const RequestPtr &request);
    void send(std::size_t entry, const RequestPtr &request);
    void arriveAtTarget(std::size_t target, const Job &job);
    void runNext(std::size_t target);
    void endTarget(std::size_t target);
    void onAnswer(const Job &job);
    void onLostConnection(const Job &job, std::size_t target, std::uint64_t start);
    void retry(const Job &job);
    void endTrial(std::size_t entry, const RequestPtr &request);
    void end(const RequestPtr &request, bool isAnswered);

    SuspectScenario m_scenario;
    VirtualSchedule m_schedule;
    std::mt19937_64 m_random;
    std::vector<Entry> m_entries;
    std::vector<Target> m_targets;
    std::set<std::size_t> m_cutOff;
    std::vector<HarmfulFigures> m_harmful;
    /// Attempts that have been counted as late, by request id.
    std::set<std::uint64_t> m_lateAttempts;
    std::vector<Outcome> m_outcomes;
    std::uint64_t m_requestCount = 0;
    std::size_t m_endedTargets = 0;
};

} // namespace Tarragon
