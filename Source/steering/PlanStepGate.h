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

    /// Notes that all entries of a domain apply the plan in full. Older versions are ignored.
    void acknowledge(const FailureDomainId &domain, PlanVersion version);

    /// Sets the failure domains whose acknowledgement is needed: all that are not drained.
    void setRequired(std::set<FailureDomainId> domains);

    /// Whether the next plan may be made. The first call after the last acknowledgement starts the
    /// hold, so this is to be called after each change of the inputs and at least every second.
    bool mayStep(MonotonicTime now);

    /// The required domains that have not acknowledged the plan in force.
    std::vector<FailureDomainId> missing() const;

private:
    microseconds m_hold;
    PlanVersion m_version;
    std::map<FailureDomainId, PlanVersion> m_acknowledged;
    std::set<FailureDomainId> m_required;
    std::optional<MonotonicTime> m_completeSince;
};

} // namespace Tarragon
