#pragma once

#include "routing/SuspectRequests.h"
#include "routing/TrialMessages.h"

#include <map>

namespace Tarragon {

/// Permits trials of requests under suspicion for all entries: one at a time of each request, and
/// the later, the more targets have ended under it. A request that did no harm is cleared by its
/// first trial.
class TrialIssuer
{
public:
    explicit TrialIssuer(SuspectRequests &suspects)
        : m_suspects(suspects)
    {}

    TrialReply issue(const TrialRequest &request, MonotonicTime now);
    /// Called when a trial has ended, with whatever outcome.
    void end(RequestFingerprint request);
    /// Removes state of requests without a trial.
    void removeUnused(MonotonicTime now);

private:
    struct Trial
    {
        /// End of the time for which the last permit holds.
        MonotonicTime endsAt;
        /// Time of the next permit, whatever the outcome of the last trial.
        MonotonicTime nextAt;
    };

    /// Returns the time of the next permit.
    MonotonicTime nextTrialAt(const SuspectRecord &record, const ServiceId &service,
                              MonotonicTime now) const;

    SuspectRequests &m_suspects;
    std::map<RequestFingerprint, Trial> m_trials;
    /// Times of the next trials of requests under which more than one target ended.
    std::map<ServiceId, MonotonicTime> m_nextRiskyTrialAt;
};

} // namespace Tarragon
