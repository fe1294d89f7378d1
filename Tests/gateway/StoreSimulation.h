#pragma once

#include "VirtualLoop.h"
#include "VirtualStore.h"
#include "gateway/GatewayState.h"
#include "gateway/KindSubscription.h"
#include "gateway/StoreRelay.h"
#include "routing/EntryMembership.h"
#include "routing/RouteTable.h"
#include "routing/TargetRegistry.h"

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace Tarragon {

/// Parameters of a run.
struct StoreScenario
{
    std::uint64_t seed = 1;
    std::size_t entryCount = 86;
    std::size_t targetCount = 240;
    microseconds duration = seconds(40);
    /// Fraction of calls to the store whose first packet is lost. This is no trouble that excuses
    /// an entry.
    double callLossRatio = 0;
    /// The shortest bounds that the platform sets: after an acknowledged change, entries in touch
    /// must follow it within these times. An entry is in touch if neither it nor the store has had
    /// trouble for `contactTime`.
    microseconds contactTime = seconds(3);
    microseconds drainTime = milliseconds(2'500);
    microseconds configTime = milliseconds(2'500);
    microseconds evacuationTime = seconds(5);
};

/// Runs the entries of a deployment in virtual time as far as they follow the store: subscriptions
/// to targets and to the desired state, the relay of changes within failure domains, membership and
/// target registry. Checks continuously that entries in touch follow the leaving of targets and the
/// desired state within the platform's bounds.
class StoreSimulation
{
public:
    explicit StoreSimulation(const StoreScenario &scenario);
    ~StoreSimulation();
    StoreSimulation(const StoreSimulation &) = delete;
    StoreSimulation &operator=(const StoreSimulation &) = delete;

    /// Schedules an action at a time of the run.
    void at(microseconds time, const std::function<void()> &action);
    /// Runs to the end of the scenario.
    void run();

    /// Writes that the target drains; the store acknowledges it now.
    void drain(std::size_t target);
    /// Removes the registration of the target, which leaves without having announced it.
    void vanish(std::size_t target);
    /// Lets a write take effect that the target sent before it began to drain.
    void applyWriteFromBeforeDraining(std::size_t target);
    /// Writes the next version of the desired state.
    void changeDesiredState();
    /// Writes the evacuation of another failure domain.
    void evacuate();

    /// Interrupts the way of entries to the store.
    void disturb(const std::set<std::size_t> &entries, StorePath path, microseconds duration);
    /// Does the same, after which the connections of before the end stay silent: the store has
    /// closed them meanwhile.
    void sever(const std::set<std::size_t> &entries, StorePath path, microseconds duration);
    /// Cuts entries off from the other entries.
    void isolate(const std::set<std::size_t> &entries, microseconds duration);
    /// Answers calls that allow stale data from the store's contents of now for a time.
    void answerFromStaleCopy(microseconds duration);
    /// Leaves the next call of each entry to the store without a response. This is no trouble that
    /// excuses the entry.
    void loseNextCalls(const std::set<std::size_t> &entries);
    /// Silences the present connections of entries to the store for good; new ones work.
    void silenceStoreConnections(const std::set<std::size_t> &entries);
    /// Silences those on which the entries watch a kind.
    void silenceWatches(const std::set<std::size_t> &entries, const std::string &kind);
    /// Leaves polls of neighbours by these entries without a reply for a time.
    void silenceNeighbours(const std::set<std::size_t> &entries, microseconds duration);
    /// Interrupts the way of all entries to the store.
    void disturbStore(StorePath path, microseconds duration);
    /// Takes the store away for a time, after which it returns from a copy of the given age. The
    /// operator and the targets then write again what is missing, and registrations of targets that
    /// have left expire.
    void restoreStore(microseconds copyAge, microseconds duration);
    /// Suspends an entry.
    void pause(std::size_t entry, microseconds duration);
    /// Replaces the process of an entry by a new one.
    void restart(std::size_t entry);
    /// Returns the entries that watch the store, or rely on others, by the view of the entry
    /// itself.
    std::set<std::size_t> watchingEntries() const;
    /// Returns the entries of a failure domain.
    std::set<std::size_t> entriesOf(std::size_t domain) const;
    /// Draws as many of the entries as the fraction states.
    std::set<std::size_t> drawEntries(double fraction);
    std::mt19937_64 &random() { return m_random; }

    /// Descriptions of the broken bounds, each entry, bound and object once.
    const std::vector<std::string> &violations() const { return m_violations; }
    /// Longest time after which an entry in touch still used a leaving target.
    microseconds slowestLeave() const { return m_slowestLeave; }
    /// Longest time for which an entry in touch made no successful call after a failed one.
    microseconds longestOutage() const { return m_longestOutage; }
    std::size_t entryCount() const { return m_entries.size(); }
    microseconds now() const { return m_schedule.now(); }

private:
    using Subscription = BasicKindSubscription<VirtualLoop, VirtualStoreClient>;
    using Relay = BasicStoreRelay<VirtualLoop, VirtualStoreClient>;

    /// A process of an entry.
    struct Process
    {
        Process(StoreSimulation &simulation, std::size_t entry, std::uint64_t seed);

        void adopt(const Platform::StoredItem &item);
        /// Version of the desired state in force; 0 before the first one.
        std::uint64_t version() const;

        VirtualLoop loop;
        VirtualStoreClient client;
        EntryMembership membership;
        StoreHealth health;
        TargetRegistry registry;
        GatewayState state;
        Subscription targets;
        Subscription desiredState;
        std::set<std::string> evacuated;
        Subscription evacuations;
        Relay relay;
        /// Whether the subscriptions have been started.
        bool hasBegun = false;
        bool hasRelayStarted = false;
        VirtualLoop::Timer tick;
        VirtualLoop::Timer gossip;
    };
    struct Entry
    {
        EntryRecord record;
        std::unique_ptr<Process> process;
        /// End of the latest trouble of this entry.
        microseconds troubledUntil{ 0 };
        /// Time at which the entry noticed that the store is unavailable; nothing while it is
        /// available.
        std::optional<microseconds> unavailableSince;
        /// End of the time in which polls of neighbours stay without a reply.
        microseconds neighboursSilentUntil{ 0 };
        /// End of the time in which the entry is cut off from the other entries.
        microseconds isolatedUntil{ 0 };
    };
    /// A target that leaves.
    struct Leave
    {
        std::size_t target = 0;
        microseconds acknowledgedAt{ 0 };
        bool isAnnounced = false;
    };

    void copyStore();
    void rewriteLostState();
    bool hasLeft(std::size_t target) const;
    void start(std::size_t entry);
    void begin(std::size_t entry, Process &process);
    void gossip(std::size_t entry);
    void askWatcher(std::size_t entry, const InstanceId &watcher, milliseconds timeout,
                    const Relay::FillSlot &fill, const Relay::ReplySlot &onReply);
    microseconds delayTo(std::size_t entry) const;
    bool isInTouch(const Entry &entry) const;
    bool isStoreStable() const;
    void audit();
    /// Checks that something is pending by which the entry goes on following the store, also while
    /// the entry or the store is in trouble.
    void auditPendingWork(std::size_t entry);
    void auditEntry(std::size_t entry);
    /// Checks that a version is in force as a whole: with the routes it has added and without those
    /// it has dropped.
    void auditRoutes(std::size_t entry);
    bool canExchange(std::size_t a, std::size_t b) const;
    void report(std::size_t entry, const std::string &finding);
    std::size_t indexOf(const InstanceId &instance) const { return m_indices.at(instance); }

    StoreScenario m_scenario;
    std::mt19937_64 m_random;
    VirtualSchedule m_schedule;
    VirtualStore m_store;
    std::vector<Entry> m_entries;
    std::map<InstanceId, std::size_t> m_indices;
    std::vector<nlohmann::json> m_targetSpecs;
    std::vector<Leave> m_leaves;
    /// Acknowledged versions of the desired state, in order.
    std::vector<std::pair<std::uint64_t, microseconds>> m_versions;
    /// Acknowledged evacuations.
    std::map<std::string, microseconds> m_evacuations;
    /// Copies of the store's contents, by the time of the copy.
    std::map<microseconds, StandInObjects> m_copies;
    microseconds m_storeTroubledUntil{ 0 };
    std::set<std::string> m_reported;
    std::vector<std::string> m_violations;
    microseconds m_slowestLeave{ 0 };
    microseconds m_longestOutage{ 0 };
};

} // namespace Tarragon
