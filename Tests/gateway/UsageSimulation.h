#pragma once

#include "model/VirtualSchedule.h"
#include "routing/UsageCaps.h"

#include <functional>
#include <memory>
#include <random>
#include <set>
#include <vector>

namespace Tarragon {

/// Demand of one workspace, what became of its requests, and its cap.
struct SimulatedWorkspace
{
    Workspace workspace;
    RouteVersion version{ 1 };
    /// Requests per second at a time of the run.
    std::function<double(microseconds)> demand;
    /// Index of the entry that gets a request; any entry if it is not set.
    std::function<std::size_t(microseconds, std::mt19937_64 &)> entryAt;

    /// Times at which requests arrived, ran, and were refused as over the cap and as unknown.
    std::vector<microseconds> arrivals;
    std::vector<microseconds> runs;
    std::vector<microseconds> overCap;
    std::vector<microseconds> unknown;
};

/// Returns the number of the ascending times in [begin, end).
int countBetween(const std::vector<microseconds> &times, microseconds begin, microseconds end);

/// Runs UsageCaps and EntryMembership of many entries in virtual time. Entries gossip and ask each
/// other as the daemon does; messages take 0.5 to 25 ms, and the network may be cut.
class UsageSimulation
{
public:
    UsageSimulation(std::size_t entries, std::vector<SimulatedWorkspace> workspaces,
                    std::uint64_t seed);
    ~UsageSimulation();
    UsageSimulation(const UsageSimulation &) = delete;
    UsageSimulation &operator=(const UsageSimulation &) = delete;

    /// Schedules an action at a time of the run.
    void at(microseconds time, const std::function<void()> &action);
    void runUntil(microseconds end);

    /// Kills an entry. Its registration stays in the store.
    void kill(std::size_t entry);
    /// Starts a killed or stopped entry as a new process.
    void start(std::size_t entry);
    /// Ends an entry as on a planned stop: it announces that it does not serve, and is removed.
    void stop(std::size_t entry);
    /// Suspends an entry; everything that reaches it waits.
    void pause(std::size_t entry, microseconds duration);
    /// Cuts these entries from all others; an empty set ends the cut.
    void cut(const std::set<std::size_t> &entries) { m_cutOff = entries; }
    /// Changes a cap; each entry learns of it within a second.
    void changeCap(std::size_t workspace, const UsageCap &cap);

    /// Returns the entry that issues the tokens of the workspace in the view of a live entry.
    std::size_t issuerOf(std::size_t workspace) const;
    std::size_t entryCount() const { return m_entries.size(); }
    std::vector<SimulatedWorkspace> &workspaces() { return m_workspaces; }
    microseconds now() const { return m_schedule.now(); }
    /// Number of calls to issuers of other entries, and of the requests that they contained.
    std::uint64_t calls() const { return m_calls; }
    std::uint64_t requestsInCalls() const { return m_requestsInCalls; }

private:
    struct Process
    {
        Process(EntryRecord record, std::uint64_t seed, UsageCaps::AskSlot ask);

        EntryMembership membership;
        UsageCaps caps;
        /// Version of each workspace's cap that the entry knows.
        std::vector<std::pair<Workspace, RouteVersion>> table;
    };
    struct Entry
    {
        InstanceId id;
        std::uint64_t epoch = 0;
        std::unique_ptr<Process> process;
        microseconds pausedUntil{ 0 };
        bool isServing = false;
    };

    MonotonicTime clock() const;
    double uniform() { return std::uniform_real_distribution<double>(0, 1)(m_random); }
    microseconds delay();
    /// Runs the action on the process that the entry has now, after a pause of the entry.
    void onEntry(std::size_t entry, std::uint64_t epoch, const std::function<void()> &action);
    bool isConnected(std::size_t a, std::size_t b) const;
    void scheduleArrival(std::size_t workspace);
    void arrive(std::size_t workspace);
    void ask(std::size_t entry, std::uint64_t epoch, const InstanceId &issuer,
             const UsageRequests &requests, const UsageCaps::RepliesSlot &replied);
    void gossip(std::size_t entry, std::uint64_t epoch);
    void refreshRecords(std::size_t entry, std::uint64_t epoch);

    VirtualSchedule m_schedule;
    std::mt19937_64 m_random;
    std::vector<SimulatedWorkspace> m_workspaces;
    std::vector<Entry> m_entries;
    /// Registrations in the store.
    std::map<InstanceId, EntryRecord> m_registrations;
    std::set<std::size_t> m_cutOff;
    std::uint64_t m_calls = 0;
    std::uint64_t m_requestsInCalls = 0;
};

} // namespace Tarragon
