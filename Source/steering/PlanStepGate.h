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

/// Decides when the next plan may be made: every failure domain that is not drained has applied
/// the plan in force in full, and since then the hold time has passed. Without the hold, callers
/// that still use answers from before the last step and callers that already use the next one
/// would together have moved by more than one cap.
///
/// An acknowledgement is tied to the incarnation that gave it: an entry that restarts may take over
/// the weights of a peer that is a step behind, so it has to acknowledge anew. That it restarted
/// may not be known if it is cut off afterwards; therefore each entry must also be heard from in
/// the second half of the hold, when all that it could take over is the plan in force. Messages
/// must not be delayed by more than half of the hold.
///
/// The state belongs to one process and is not handed over. A process that becomes the planner
/// hears the acknowledgements again and waits from then on, which is only ever longer.
class PlanStepGate
{
public:
    /// Lookup TTL plus cap period, at its longest over the services of the document.
    static microseconds holdTime(const Configuration &configuration);

    explicit PlanStepGate(microseconds hold);

    /// Sets the hold time of a newer document. It applies to the hold under way as well.
    void setHold(microseconds hold) { m_hold = hold; }

    /// Notes the plan in force; a version that is not greater than the last one is ignored.
    void setPlan(PlanVersion version);

    /// Notes the newest plan that an entry applies in full, AppliedWeights::fullyApplied(). Older
    /// versions of the same incarnation are ignored. Reports of an incarnation that has been
    /// replaced must not be passed on.
    void acknowledge(const InstanceId &entry, Incarnation incarnation, PlanVersion version,
                     MonotonicTime now);

    /// Sets the failure domains whose acknowledgement is needed, all that are not drained, with the
    /// entries of each that may still be running. A domain without any is never acknowledged; an
    /// operator who knows that it is gone drains it.
    void setRequired(std::map<FailureDomainId, std::set<InstanceId>> domains);

    /// Whether the next plan may be made. The first call after the last acknowledgement starts the
    /// hold, so this is to be called after each change of the inputs and at least every second.
    bool mayStep(MonotonicTime now);

    /// The required domains that have not acknowledged the plan in force.
    std::vector<FailureDomainId> missing() const;

    /// The required domains that were not heard from since the given time.
    std::vector<FailureDomainId> silentSince(MonotonicTime time) const;

private:
    struct Acknowledgement
    {
        Incarnation incarnation;
        PlanVersion version;
        MonotonicTime heardAt;
    };

    bool isAcknowledged(const std::set<InstanceId> &entries) const;
    bool isHeardSince(const std::set<InstanceId> &entries, MonotonicTime time) const;

    microseconds m_hold;
    PlanVersion m_version;
    std::map<InstanceId, Acknowledgement> m_acknowledged;
    std::map<FailureDomainId, std::set<InstanceId>> m_required;
    std::optional<MonotonicTime> m_completeSince;
};

} // namespace Tarragon
