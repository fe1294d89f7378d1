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
    /// How long a grant is valid. The borrower counts from before it sends its request.
    microseconds grantDuration{ 2'000'000 };
    /// Added by the lender to the duration of a grant, because a target receives its deadline as a
    /// remaining time that counts from the arrival of the request. A TCP segment that is lost once
    /// arrives 200 ms late.
    microseconds transitMargin{ 250'000 };
    /// Maximum difference in speed of two clocks.
    Share clockDrift{ 10'000 };
    /// A borrowed slot is used only if its grant is valid for at least this long.
    microseconds minRunTime{ 300'000 };
    /// Time without a request after which a borrowed slot is returned.
    microseconds returnIdleAfter{ 500'000 };
    /// Time after which an unanswered request for grants or renewals is repeated.
    microseconds grantRequestTimeout{ 250'000 };
    /// Time for which a target's slots are not lent after this entry itself lacked a slot there.
    microseconds noLendingAfterShortage{ 1'000'000 };
    /// Maximum time that a request may run at a target. Must be at least the largest requestTimeout
    /// of the document.
    microseconds maxRequestTime{ 10'000'000 };
    /// Minimum length of recovery (see SlotLedger) if no neighbour knows the history. It is the
    /// time that an instance which the document no longer names has to adopt that document. A
    /// request that such an instance still runs after it may exceed a target's slots. The longer
    /// neighbourTimeout() would exclude that, but a domain whose entries have all restarted would
    /// not serve for so long.
    microseconds coldStartWait{ 3'000'000 };
    /// An entry that has sent no report for this long is fenced: it starts no requests, because
    /// neighbours may soon use the slots that a newer document gives them. See
    /// neighbourTimeout().
    microseconds fenceTimeout{ 3'000'000 };

    /// Returns the time without a report after which a neighbour counts as timed out: it is fenced,
    /// and no request that it started under an older document can still be running.
    microseconds neighbourTimeout() const;
    /// Returns the time on the lender's clock for which a granted slot is reserved for the
    /// borrower.
    microseconds lenderHoldTime() const;
};

/// Permit to run one request at a target. It holds one slot until it is released.
struct SlotPermit
{
    std::uint64_t id = 0;
    TargetId target;
    bool borrowed = false;
    /// Latest deadline that may be given to the target: the caller's deadline, or an earlier time
    /// if the slot is borrowed or the request would run too long.
    MonotonicTime runUntil;
};

/// Why no permit was issued.
enum class SlotRefusal {
    /// All slots that this entry may use are in use.
    NoFreeSlot,
    /// Every target in question is unknown, leaving, excluded or has weight 0.
    NoTarget,
    /// The deadline has passed.
    DeadlinePassed,
    /// Neighbours may still use the slots: the entry has just started, was paused or has missed a
    /// document (see SlotLedger).
    Recovering,
};

using SlotResult = std::variant<SlotPermit, SlotRefusal>;

/// Tracks which slots of the targets of one failure domain this entry may use and which are in use.
/// Over all entries of the domain, the requests running at a target never exceed its slots,
/// provided that targets stop a request at the deadline they were given and that the requests of an
/// entry that dies end with its connections.
///
/// Each document gives every entry a share of a target's slots (see staticShare()). An entry issues
/// a permit for each request that it sends. When its own slots are used up, it borrows slots from
/// neighbours, the other entries of the failure domain, which lend them by grants (see GrantId).
///
/// An entry has settled on a document once its permits and the slots that it has lent fit the
/// shares of that document. For each target, the entry uses the minimum of its shares under all
/// documents from the oldest one that a neighbour may still act on to its own newest one.
/// Neighbours report the document that they have settled on; one that has not reported for
/// SlotLedgerOptions::neighbourTimeout() has no requests running any more.
///
/// An entry that has sent no report for SlotLedgerOptions::fenceTimeout is fenced. A ledger that
/// has just started, was fenced or has missed a document is in recovery: it does not know which
/// slots neighbours may still use, and issues no permits on own slots and no grants until a
/// neighbour that knows the history of documents reports. If all neighbours are recovering, too, or
/// there are none, recovery ends after SlotLedgerOptions::coldStartWait, or lenderHoldTime() if
/// that is longer; in any case it ends when everything that was in use before must have ended.
class SlotLedger
{
public:
    SlotLedger(const InstanceId &self, Incarnation incarnation, const SlotLedgerOptions &options,
               MonotonicTime now);

    /// Applies the shares of a newer document; an older one is ignored. Smaller shares apply to new
    /// permits at once, larger ones when all neighbours have settled on the document or on a later
    /// one. Every document should be adopted, because a missed one starts recovery, as after a
    /// start.
    void adopt(const SlotShares &shares, MonotonicTime now);
    /// Sets whether a target is leaving, also for a target that no document names yet. No permits
    /// and no grants are issued for a leaving target.
    void setLeaving(const TargetId &target, bool leaving);
    /// Sets the weight of a target in acquireAny() and the fraction of its slots that may be used
    /// during a cold start ("ramp"). Both are 1 initially; a weight of 0 excludes the target.
    void setCondition(const TargetId &target, double weight, double ramp);

    /// Acquires a slot of the given target for a request that must end by the deadline. "needed" is
    /// the minimum time that the request must be able to run; borrowed slots whose grant expires
    /// sooner are not used.
    SlotResult acquire(const TargetId &target, MonotonicTime now, MonotonicTime deadline,
                       microseconds needed = microseconds(0));
    /// Acquires a slot at the target of the service with the largest free fraction of its slots,
    /// multiplied by its weight and ramp; never at an excluded target.
    SlotResult acquireAny(const ServiceId &service, const std::set<TargetId> &excluded,
                          MonotonicTime now, MonotonicTime deadline,
                          microseconds needed = microseconds(0));
    /// Whether the request may still be sent to the target. Must be called right before the first
    /// byte is sent, because the process may have been paused since acquire().
    bool mayStart(const SlotPermit &permit, MonotonicTime now) const;
    /// Releases the slot after the request has ended at the target or was never sent. A second
    /// release of the same permit is ignored.
    void release(std::uint64_t permitId, MonotonicTime now);
    /// Releases the slot after the request was aborted by closing its connection or because its
    /// deadline has passed. The slot stays in use for SlotLedgerOptions::transitMargin, because the
    /// target may not have noticed yet.
    void abort(std::uint64_t permitId, MonotonicTime now);

    /// Returns the requests to neighbours that are due: for new slots where there was a shortage,
    /// for renewals and for returns. Must be called every 50 to 100 ms and after a refusal.
    std::vector<GrantRequest> requestsToSend(MonotonicTime now);
    /// Grants, renews and takes back slots as lender, and returns the response to the borrower.
    GrantResponse onGrantRequest(const GrantRequest &request, MonotonicTime now);
    /// Applies a lender's response as borrower. Responses to no pending request are ignored.
    void onGrantResponse(const GrantResponse &response, MonotonicTime now);

    /// Returns the neighbours to send reports to: those named by a document in use, and those that
    /// have sent a report. A neighbour that does not report eventually counts as timed out.
    std::vector<InstanceId> others() const;
    /// Returns the report for one of others(). Must be sent at least every second.
    ShareReport reportFor(const InstanceId &to, MonotonicTime now);
    void onShareReport(const ShareReport &report, MonotonicTime now);

    /// Returns the number of slots of the target that this entry may use or lend, without borrowed
    /// slots.
    int allowance(const TargetId &target, MonotonicTime now) const;
    /// Returns the number of requests that hold a permit for the target.
    int running(const TargetId &target) const;
    /// Returns the number of slots of the target lent to neighbours.
    int lent(const TargetId &target, MonotonicTime now) const;
    /// Returns the number of slots of the target borrowed from neighbours.
    int borrowed(const TargetId &target, MonotonicTime now) const;
    /// Returns the number of slots free for new requests at all targets of a service, without
    /// borrowed slots.
    int freeSlots(const ServiceId &service, MonotonicTime now) const;
    /// Returns the newest document that this entry has settled on.
    Generation settled(MonotonicTime now) const;
    /// Whether the ledger is in recovery or fenced, and so issues no permits on own slots.
    bool isRecovering(MonotonicTime now) const;

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
        /// Value of m_epoch at acquire(). A permit from before the last recovery began does not
        /// start a request.
        std::uint64_t epoch = 0;
        /// When an aborted request's slot is released; set by abort().
        std::optional<MonotonicTime> releaseAt;
    };
    struct LentSlot
    {
        GrantId id;
        InstanceId borrower;
        Incarnation borrowerIncarnation;
        MonotonicTime heldUntil;
    };
    struct BorrowedSlot
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
        /// Permits that use slots of this entry's own share.
        std::set<std::uint64_t> ownPermits;
        std::vector<LentSlot> lent;
        std::vector<BorrowedSlot> borrowed;
        std::optional<MonotonicTime> lastShortageAt;
        std::optional<MonotonicTime> lastRequestedAt;
    };
    struct NeighbourState
    {
        /// Newest report of the neighbour's current incarnation since recovery began; nothing if
        /// there is none.
        std::optional<ShareReport> report;
        /// When the newest report arrived, or when this entry began to wait for one.
        MonotonicTime lastReportAt;
        /// Oldest document of this entry's history that names the neighbour; 0 if this is the first
        /// document of the history, because the neighbour may then act on an older one.
        Generation firstNamedIn;
        /// Newest document that the neighbour has settled on, among those up to this entry's own.
        /// A neighbour that has settled on a newer document may have missed some in between.
        Generation settled;
        /// Previous incarnation of the neighbour, and until when its delayed reports are ignored.
        Incarnation replacedIncarnation;
        MonotonicTime ignoreReplacedUntil;
    };
    struct SentResponse
    {
        GrantResponse response;
        MonotonicTime sentAt;
    };

    void advance(MonotonicTime now);
    void releaseSlot(std::uint64_t permitId, MonotonicTime now);
    void beginRecovery(MonotonicTime now);
    void endRecoveryIfKnown(MonotonicTime now);
    void trackNeighbours(MonotonicTime now);
    void dropObsolete(MonotonicTime now);
    bool isFenced(MonotonicTime now) const;
    bool isTimedOut(const NeighbourState &other, MonotonicTime now) const;
    Generation current() const;
    Generation settledOf(const NeighbourState &other) const;
    /// Returns the oldest document that a neighbour other than "except" may still act on.
    Generation oldestInUse(MonotonicTime now, const InstanceId *except) const;
    int minShare(const TargetId &target, Generation from, Generation to) const;
    int usedOwnSlots(const TargetState &state, MonotonicTime now) const;
    int usableOwnSlots(const TargetId &target, const TargetState &state, MonotonicTime now) const;
    int lendableSlots(const TargetId &target, const TargetState &state, MonotonicTime now) const;
    int freeBorrowedSlots(const TargetState &state, MonotonicTime now, microseconds needed) const;
    bool mayLend(const TargetId &target, const TargetState &state, MonotonicTime now) const;
    void updateSettled(MonotonicTime now);
    SlotResult takeSlot(const TargetId &target, TargetState &state, MonotonicTime now,
                        MonotonicTime deadline, microseconds needed);
    SlotRefusal shortageRefusal(MonotonicTime now) const;

    InstanceId m_self;
    Incarnation m_incarnation;
    SlotLedgerOptions m_options;
    /// Documents from the oldest one that neighbours may act on to the newest adopted one.
    std::map<Generation, Document> m_history;
    std::map<TargetId, TargetState> m_targets;
    /// Leaving targets. Kept apart from m_targets, whose elements are removed with the documents
    /// that name them.
    std::set<TargetId> m_leaving;
    std::map<InstanceId, NeighbourState> m_neighbours;
    std::map<std::uint64_t, Permit> m_permits;
    /// When each pending GrantRequest was sent, by its sequence.
    std::map<std::uint64_t, MonotonicTime> m_pendingRequests;
    /// Responses sent as lender, so that a duplicated request is not granted twice.
    std::map<std::tuple<InstanceId, Incarnation, std::uint64_t>, SentResponse> m_sentResponses;
    std::uint64_t m_nextPermit = 1;
    std::uint64_t m_nextGrant = 1;
    std::uint64_t m_nextSequence = 1;
    std::uint64_t m_nextReport = 1;
    std::size_t m_tieRotation = 0;
    std::size_t m_neighbourRotation = 0;
    Generation m_settled;
    /// Whether the ledger is in recovery: it is unknown which slots neighbours may still use.
    bool m_recovering = true;
    std::uint64_t m_epoch = 1;
    MonotonicTime m_startedAt;
    MonotonicTime m_recoveringSince;
    /// Sequence of the first report sent since recovery began. Reports of neighbours count only if
    /// they echo it or a later one.
    std::uint64_t m_firstRecoveryReport = 1;
    MonotonicTime m_lastReport;
};

} // namespace Tarragon
