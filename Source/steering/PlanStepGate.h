#pragma once

#include "base/Ids.h"
#include "base/Units.h"
#include "base/Versions.h"
#include "document/Configuration.h"

#include <map>
#include <optional>
#include <set>
#include <vector>

namespace Tarragon {

/// Decides when the next plan may be made: once every failure domain that is not drained has
/// applied the plan in force in full and the hold time has passed since then. Without the hold,
/// callers that still use lookup responses from before the last step and callers that already use
/// the next step would together have moved by more than one cap.
///
/// An acknowledgement is valid only for the incarnation that sent it: an entry that restarts may
/// start with the weights of a peer that is one step behind, so it has to acknowledge again. If the
/// entry is partitioned right after its restart, the new incarnation may be unknown to the planner.
/// Therefore a report of each entry must also arrive in the second half of the hold, when peers
/// have only the weights of the plan in force to start from. Messages must not be delayed by more
/// than half of the hold.
///
/// The state belongs to one process and is not handed over. A process that becomes the planner
/// receives the acknowledgements again and starts the hold then, which can only lengthen the wait.
class PlanStepGate
{
public:
    /// Returns the hold time of a document: its maximum lookup TTL plus its maximum cap period.
    static microseconds holdTime(const Configuration &configuration);

    explicit PlanStepGate(microseconds hold);

    /// Sets the hold time of a newer document. It also applies to a hold that has already begun.
    void setHold(microseconds hold) { m_hold = hold; }

    /// Sets the version of the plan in force. Ignores a version that is not greater than the last.
    void setPlan(PlanVersion version);

    /// Records a report of an entry: the newest plan that it applies in full, as returned by
    /// AppliedWeights::fullyApplied(). A version older than one reported before by the same
    /// incarnation is ignored. The caller must not pass reports of an incarnation that has been
    /// replaced.
    void acknowledge(const InstanceId &entry, Incarnation incarnation, PlanVersion version,
                     MonotonicTime now);

    /// Sets the failure domains whose acknowledgement is required, which are all that are not
    /// drained, with those entries of each that may still be running. A domain without entries
    /// never counts as acknowledged; an operator who knows that such a domain is gone drains it.
    void setRequired(std::map<FailureDomainId, std::set<InstanceId>> domains);

    /// Returns whether the next plan may be made. The first call after the last acknowledgement
    /// starts the hold, so this must be called after each change of the inputs and at least every
    /// second.
    bool mayStep(MonotonicTime now);

    /// Returns the required domains that have not acknowledged the plan in force.
    std::vector<FailureDomainId> unacknowledgedDomains() const;

    /// Returns the required domains with an entry that has not reported since the given time.
    std::vector<FailureDomainId> domainsWithoutReportSince(MonotonicTime time) const;

private:
    struct Acknowledgement
    {
        Incarnation incarnation;
        PlanVersion version;
        MonotonicTime lastReportAt;
    };

    bool isAcknowledged(const std::set<InstanceId> &entries) const;
    bool haveReportedSince(const std::set<InstanceId> &entries, MonotonicTime time) const;

    microseconds m_hold;
    PlanVersion m_version;
    std::map<InstanceId, Acknowledgement> m_acknowledgements;
    std::map<FailureDomainId, std::set<InstanceId>> m_requiredDomains;
    /// Start of the hold: since when all required domains have acknowledged the plan in force.
    std::optional<MonotonicTime> m_acknowledgedSince;
};

} // namespace Tarragon
