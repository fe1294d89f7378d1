#pragma once

#include "routing/RegionShares.h"
#include "routing/RouteTable.h"
#include "routing/TargetLoad.h"
#include "routing/TargetOutcomes.h"
#include "routing/TargetRegistry.h"
#include "routing/TokenBucket.h"

#include <map>
#include <optional>
#include <set>
#include <string_view>
#include <utility>
#include <vector>

namespace Tarragon {

/// Where an entry stands, and the regions in which callers have entries of their own.
struct EntryPlace
{
    FailureDomainId domain;
    RegionId region;
    std::map<FailureDomainId, RegionId> regions;
};

/// One request to be placed.
struct PlacementQuery
{
    const Route *route = nullptr;
    /// Hash of the object that the request is about; nothing if it names none.
    std::optional<std::uint64_t> object;
    /// Hash of the request's id, for choices that need not be the same for every request.
    std::uint64_t request = 0;
    /// Targets that have had the request.
    std::set<TargetId> tried;
    /// Time that is left until the request is given up.
    microseconds left{ 0 };
};

/// A run of a target, told by its start, that has said that it is leaving.
struct LeavingTarget
{
    TargetId id;
    std::uint64_t bornMs = 0;
};

/// Why a request is not placed.
enum class RefusalReason {
    /// No target of the service may be used.
    NoTarget,
    /// The targets of the object are busy for longer than is of use to the caller.
    Busy,
    /// No target would be done within the time that is left.
    TooLate,
    /// All usable targets are cold and have had what they bear.
    Cold,
};

std::string_view toString(RefusalReason reason);

/// Where a request goes, or why not.
struct Placement
{
    std::optional<TargetId> target;
    /// Estimated time until the target begins with it.
    microseconds wait{ 0 };
    /// Estimated time of the target's work.
    microseconds work{ 0 };
    RefusalReason reason = RefusalReason::NoTarget;
    /// Of a request refused as Busy or TooLate: the home that has room first; wait and work are
    /// those there.
    std::optional<TargetId> busyHome;
    /// Longest wait for which a request is placed.
    microseconds waitLimit{ 0 };
    /// When a refused request has a prospect.
    microseconds retryAfter{ 0 };
};

/// How ServiceDispatcher spreads objects and how long it lets requests wait.
struct DispatchOptions
{
    /// Targets that an object is sent to. Two keep it available while one is busy, slow or gone;
    /// more would have every target work on more objects than it remembers.
    std::size_t homesPerObject = 2;
    /// Part of the latency goal that a request may wait for a home. Work takes the most of the
    /// rest.
    double waitShareOfGoal = 0.4;
};

/// Places the requests of one service on its targets.
///
/// Answers this load: targets work several times faster on objects that they have handled lately,
/// so that a service which is overloaded with cold requests has room to spare once each object has
/// found its targets. Every object has few homes, which all entries find without talking to each
/// other, and a request waits for a home or is refused; sending it to any free target would slow
/// that target down and push another object out there.
class ServiceDispatcher
{
public:
    ServiceDispatcher(EntryPlace place, const HostedService &service,
                      const DispatchOptions &options = {});

    /// Takes the service's parameters of a new table.
    void setService(const HostedService &service) { m_service = service; }
    /// Takes the targets of the service. Known ones keep their history.
    void setTargets(const TargetRegistry::Targets &targets, MonotonicTime now);
    /// Takes the number of entries by which limits of the whole deployment are divided.
    void setEntryCount(std::size_t count) { m_entries = count; }

    Placement place(const PlacementQuery &query, MonotonicTime now);
    /// A placed request is being sent.
    void onSent(const TargetId &target, MonotonicTime now);
    /// The target has reported its load. To be called before onEnded() of the same request.
    void onReport(const TargetId &target, const LoadReport &report, MonotonicTime now);
    /// The run of the target that started then has said that it is leaving: it gets nothing more.
    void onLeaving(const TargetId &target, std::uint64_t bornMs);
    /// Targets that have said so since the last call, for the registry.
    std::vector<LeavingTarget> takeLeaving() { return std::exchange(m_leaving, {}); }
    /// The target is overloaded and wants nothing more for this time. To be called before onEnded()
    /// of the same request. Returns the time that is kept to; 0 if the stated one is of no use.
    milliseconds onPauseAsked(const TargetId &target, milliseconds stated, MonotonicTime now);
    /// A sent request has ended. The duration is that from sending to the answer's head; it counts
    /// if the request was answered and had not been expected to wait.
    void onEnded(const TargetId &target, const RouteName &route, SendOutcome outcome,
                 microseconds duration, bool hadToWait, MonotonicTime now);
    /// A whole answer of the route had this many bytes.
    void onAnswerBytes(const RouteName &route, ByteCount bytes);
    /// The entry's belief about a target, for the log.
    const KnownTarget *target(const TargetId &id) const;
    /// Targets that were suspended for failing, or trusted again, since the last call.
    std::vector<TargetChange> takeChanges() { return std::exchange(m_changes, {}); }
    /// Mean time from sending to the answer on the route; a guess before the first answer.
    microseconds expectedWork(const Route &route) const;
    std::size_t readyTargets() const;
    /// Requests of this entry that are at targets.
    std::size_t sendsInProgress() const;

private:
    struct TargetState
    {
        KnownTarget known;
        RegionId region;
        /// Stable hash of the id, for ranking.
        std::uint64_t hash = 0;
        TargetLoad load;
        TargetOutcomes outcomes;
        TokenBucket coldRate;
        /// The target has asked for a pause until then.
        MonotonicTime pausedUntil;
        /// Callers were told to come back for the room that there will be until then.
        MonotonicTime promisedUntil;
    };
    using States = std::map<TargetId, TargetState>;
    struct Candidate
    {
        TargetState *state = nullptr;
        microseconds wait{ 0 };
        microseconds work{ 0 };
        /// Rest of a pause that the target has asked for; nothing is sent before its end.
        microseconds pause{ 0 };
    };

    /// The targets that the request may go to, the first one preferred.
    std::vector<Candidate> homesOf(const PlacementQuery &query, MonotonicTime now);
    bool hasColdTarget(const PlacementQuery &query, MonotonicTime now) const;
    /// All usable targets, the homes of the object first.
    std::vector<TargetState *> ranking(const PlacementQuery &query, const RegionId &preferred,
                                       bool isLarge, MonotonicTime now);
    /// How near a target is for the request; 0 is best.
    int tierOf(const TargetState &state, const RegionId &preferred, bool isLarge) const;
    bool hasLargeAnswers(const RouteName &route) const;
    RegionId regionOf(const PlacementQuery &query) const;
    bool isUsable(const TargetState &state, const PlacementQuery &query) const;
    bool isCold(const TargetState &state, MonotonicTime now) const;
    static microseconds pauseOf(const TargetState &state, MonotonicTime now);
    bool mayTake(const TargetState &state, MonotonicTime now) const;
    /// Suspended targets are spared only while most of the service is not suspended.
    bool sparesSuspended(MonotonicTime now) const;
    Candidate assess(TargetState &state, const Route &route, MonotonicTime now) const;
    /// Whether a home answers so much sooner than one that comes before it for the object that it
    /// is preferred although the object is less likely to be known there.
    static bool isMuchSooner(const Candidate &home, const Candidate &earlier);
    Placement refuse(RefusalReason reason, const std::vector<Candidate> &homes,
                     const PlacementQuery &query, microseconds limit, MonotonicTime now) const;
    void configureColdRate(TargetState &state, MonotonicTime now) const;

    EntryPlace m_place;
    HostedService m_service;
    DispatchOptions m_options;
    std::size_t m_entries = 0;
    std::vector<RegionId> m_callerRegions;
    States m_targets;
    RegionSlots m_slots;
    std::vector<TargetChange> m_changes;
    std::vector<LeavingTarget> m_leaving;
    /// Mean work of each route, in microseconds.
    std::map<RouteName, double> m_work;
    /// Mean length of each route's answers, in bytes.
    std::map<RouteName, double> m_answerBytes;
};

} // namespace Tarragon
