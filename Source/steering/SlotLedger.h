#pragma once

#include "base/Ids.h"
#include "base/Units.h"
#include "base/Versions.h"
#include "steering/SlotMessages.h"
#include "steering/SlotShares.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <tuple>
#include <variant>
#include <vector>

namespace Tarragon {

/// Times of the slot ledger. All entries of a failure domain must use the same values.
struct SlotLedgerOptions
{
    /// Validity of a grant, measured by the borrower from before its request.
    microseconds grantDuration{ 2'000'000 };
    /// Added by the lender: the target gets its deadline as a remaining time, which counts from its
    /// arrival. A segment that is lost once arrives 200 ms late.
    microseconds transitMargin{ 250'000 };
    /// Largest difference in speed of two clocks.
    Share clockDrift{ 10'000 };
    /// A borrowed slot is used only if the request can run for at least this long.
    microseconds minimumRun{ 300'000 };
    /// A borrowed slot without a request is returned after this time.
    microseconds returnIdleAfter{ 500'000 };
    /// A request for grants that has no answer after this time is given up.
    microseconds requestTimeout{ 250'000 };
    /// Nothing is lent for this long after the lender itself was short of the target's slots.
    microseconds lendAfterShortage{ 1'000'000 };
    /// Longest time that a request may run at a target; at least the largest requestTimeout of the
    /// document.
    microseconds longestRequest{ 10'000'000 };
    /// After a start or a long pause, with all neighbours in the same state, the time that an
    /// instance which the document names no more is given to adopt that document. A request that
    /// such an instance still runs may then exceed a target's slots; with silentOwnerTime() it
    /// cannot, but a domain whose entries have all restarted does not serve for so long.
    microseconds coldStartHold{ 3'000'000 };
    /// An entry that has sent no report for this long stops starting requests, because others may
    /// take over what a newer document gives them. See silentOwnerTime().
    microseconds fenceAfter{ 3'000'000 };

    /// Time after which an entry that is not heard cannot have a request running under an older
    /// document.
    microseconds silentOwnerTime() const;
    /// Time on the lender's clock for which a grant blocks the slot.
    microseconds lenderHold() const;
};

/// Permission to run one request at a target.
struct SlotPermit
{
    std::uint64_t id = 0;
    TargetId target;
    bool borrowed = false;
    /// The deadline given to the target must not be later. It is the caller's deadline, or earlier
    /// on a borrowed slot.
    MonotonicTime runUntil;
};

/// Why there is no permit.
enum class SlotRefusal {
    /// All slots that this entry may use are taken.
    NoFreeSlot,
    /// The targets are unknown, leaving, excluded or have no weight.
    NoTarget,
    /// The deadline has passed.
    DeadlinePassed,
    /// Others may still use the slots: the entry has just started, or was paused.
    NotYetOwned,
};

using SlotResult = std::variant<SlotPermit, SlotRefusal>;

/// The slots of the targets of one failure domain as one entry sees them. Over all entries of the
/// domain the requests running at a target never exceed its slots, provided that targets stop a
/// request at the deadline they were given and that the requests of an entry that dies end with
/// its connections.
///
/// An entry uses, for each target, the least of its shares under all documents between the oldest
/// one that another entry may still act on and its own. Others report what they act on; one that is
/// silent for silentOwnerTime() has nothing running any more.
class SlotLedger
{
public:
    SlotLedger(const InstanceId &self, Incarnation incarnation, const SlotLedgerOptions &options,
               MonotonicTime now);

    /// Adopts the shares of a newer document; an older one is ignored. Smaller shares apply to new
    /// permits at once, larger ones when all others have given up the difference. After a
    /// document that was missed, it is unknown who may use what, as after a start, so every one
    /// should be adopted.
    void adopt(const SlotShares &shares, MonotonicTime now);
    /// Marks a target as leaving or not, also one that no document names yet. A leaving target gets
    /// no permits and no grants.
    void setLeaving(const TargetId &target, bool leaving);
    /// Sets the weight of a target for the choice, and the part of its slots that may be used
    /// during a cold start. Both are 1 at first; a weight of 0 excludes the target.
    void setCondition(const TargetId &target, double weight, double ramp);

    /// Takes a slot of the given target for a request that must end by the deadline. needed is the
    /// least time that the request has to run; it decides whether a borrowed slot is good enough.
    SlotResult acquire(const TargetId &target, MonotonicTime now, MonotonicTime deadline,
                       microseconds needed = microseconds(0));
    /// Takes a slot at the target of the service with the largest free share, weighted by
    /// condition; never at an excluded one.
    SlotResult acquireAny(const ServiceId &service, const std::set<TargetId> &excluded,
                          MonotonicTime now, MonotonicTime deadline,
                          microseconds needed = microseconds(0));
    /// Whether the request may still be sent to the target. Must be asked right before the first
    /// byte is sent, because the process may have been paused since acquire().
    bool mayStart(const SlotPermit &permit, MonotonicTime now) const;
    /// Gives a slot back after the request has ended at the target or was never sent. A second
    /// release of the same permit is ignored.
    void release(std::uint64_t permitId, MonotonicTime now);
    /// Gives a slot back after the request was broken off by closing its connection or because its
    /// deadline has passed. The slot stays taken for the transit margin, as the target may not know
    /// yet.
    void abort(std::uint64_t permitId, MonotonicTime now);

    /// Requests to neighbours that are due: new slots where there was a shortage, renewals and
    /// returns. To be called every 50 to 100 ms and after a refusal.
    std::vector<GrantRequest> requestsToSend(MonotonicTime now);
    /// Answers a neighbour as lender.
    GrantResponse onGrantRequest(const GrantRequest &request, MonotonicTime now);
    /// Takes a neighbour's answer as borrower. Answers that were not waited for are ignored.
    void onGrantResponse(const GrantResponse &response, MonotonicTime now);

    /// The entries that reports have to be sent to: those that a document in use names, and those
    /// that have sent one. An entry that does not report counts as silent.
    std::vector<InstanceId> others() const;
    /// The report for one of others(), to be sent at least every second.
    ShareReport reportFor(const InstanceId &to, MonotonicTime now);
    void onShareReport(const ShareReport &report, MonotonicTime now);

    /// Slots of the target that this entry may use itself, without borrowed ones.
    int allowance(const TargetId &target, MonotonicTime now) const;
    /// Requests that hold a permit.
    int running(const TargetId &target) const;
    /// Slots lent to neighbours.
    int lent(const TargetId &target, MonotonicTime now) const;
    /// Slots borrowed from neighbours.
    int borrowed(const TargetId &target, MonotonicTime now) const;
    /// Slots free for new requests at all targets of a service, without borrowed ones.
    int freeSlots(const ServiceId &service, MonotonicTime now) const;
    /// Newest document whose shares the use of slots fits.
    Generation settled(MonotonicTime now) const;
    /// Whether the entry is still waiting for what a predecessor or others may use.
    bool isWaitingForOthers(MonotonicTime now) const;

private:
    struct Document
    {
        std::vector<InstanceId> seats;
        /// This entry's own share of each target named.
        std::map<TargetId, int> shares;
    };
    struct Permit
    {
        TargetId target;
        /// Value of m_epoch at acquire(); a permit from before a pause does not start a request.
        std::uint64_t epoch = 0;
        /// Set by abort().
        std::optional<MonotonicTime> releaseAt;
    };
    struct Lent
    {
        GrantId id;
        InstanceId borrower;
        Incarnation borrowerIncarnation;
        MonotonicTime heldUntil;
    };
    struct Borrowed
    {
        GrantId id;
        InstanceId lender;
        Incarnation lenderIncarnation;
        MonotonicTime expiry;
        /// Permit that uses the slot; 0 if none.
        std::uint64_t permit = 0;
        MonotonicTime idleSince;
        std::optional<MonotonicTime> renewalSentAt;
    };
    struct TargetState
    {
        ServiceId service;
        double weight = 1;
        double ramp = 1;
        /// Permits on own slots.
        std::set<std::uint64_t> ownPermits;
        std::vector<Lent> lent;
        std::vector<Borrowed> borrowed;
        std::optional<MonotonicTime> lastShortage;
        std::optional<MonotonicTime> lastWanted;
    };
    struct OtherState
    {
        /// Newest report; nothing while none counts.
        std::optional<ShareReport> report;
        /// When it was last heard, or when waiting for it began.
        MonotonicTime heard;
        /// Oldest document of this entry's history that names it; 0 if that was the first one
        /// known, so that it may act on an older one.
        Generation since;
        /// Newest document up to this entry's own that it has settled on. One that has settled on a
        /// newer document may have missed those between.
        Generation settled;
        /// Incarnation that was replaced, and how long its late reports are ignored.
        Incarnation replaced;
        MonotonicTime replacedUntil;
    };
    struct Answer
    {
        GrantResponse response;
        MonotonicTime at;
    };

    void observe(MonotonicTime now);
    void giveBack(std::uint64_t permitId, MonotonicTime now);
    void becomeFresh(MonotonicTime now);
    void endFreshIfKnown(MonotonicTime now);
    void trackOthers(MonotonicTime now);
    void dropPast(MonotonicTime now);
    bool isFenced(MonotonicTime now) const;
    bool isSilent(const OtherState &other, MonotonicTime now) const;
    Generation current() const;
    Generation settledOf(const OtherState &other) const;
    /// Oldest document that another entry, but for the excepted one, may act on.
    Generation oldestInUse(MonotonicTime now, const InstanceId *except) const;
    int leastShare(const TargetId &target, Generation from, Generation to) const;
    int ownUse(const TargetState &state, MonotonicTime now) const;
    int usable(const TargetId &target, const TargetState &state, MonotonicTime now) const;
    int lendable(const TargetId &target, const TargetState &state, MonotonicTime now) const;
    int freeBorrowed(const TargetState &state, MonotonicTime now, microseconds needed) const;
    bool mayLend(const TargetId &target, const TargetState &state, MonotonicTime now) const;
    void updateSettled(MonotonicTime now);
    SlotResult take(const TargetId &target, TargetState &state, MonotonicTime now,
                    MonotonicTime deadline, microseconds needed);
    SlotRefusal shortage(MonotonicTime now) const;

    InstanceId m_self;
    Incarnation m_incarnation;
    SlotLedgerOptions m_options;
    /// Documents from the oldest that others may act on to the newest adopted.
    std::map<Generation, Document> m_history;
    std::map<TargetId, TargetState> m_targets;
    /// Kept apart from the states, which come and go with the documents.
    std::set<TargetId> m_leaving;
    std::map<InstanceId, OtherState> m_others;
    std::map<std::uint64_t, Permit> m_permits;
    /// When each request for grants was sent, by its sequence.
    std::map<std::uint64_t, MonotonicTime> m_pending;
    /// Answers given, so that a doubled request is not granted twice.
    std::map<std::tuple<InstanceId, Incarnation, std::uint64_t>, Answer> m_answers;
    std::uint64_t m_nextPermit = 1;
    std::uint64_t m_nextGrant = 1;
    std::uint64_t m_nextSequence = 1;
    std::uint64_t m_nextReport = 1;
    std::size_t m_nextTie = 0;
    std::size_t m_nextNeighbour = 0;
    Generation m_settled;
    /// Set while it is unknown what others may still use.
    bool m_fresh = true;
    std::uint64_t m_epoch = 1;
    MonotonicTime m_startedAt;
    MonotonicTime m_freshSince;
    /// First report sequence sent since then.
    std::uint64_t m_freshReport = 1;
    MonotonicTime m_lastReport;
};

} // namespace Tarragon
