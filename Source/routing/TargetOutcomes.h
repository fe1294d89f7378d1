#pragma once

#include "base/Units.h"

namespace Tarragon {

/// How a target dealt with a request.
enum class SendOutcome {
    /// It answered.
    Answered,
    /// It answered with a failure of its own.
    Failed,
    /// It declined the request without running it.
    Declined,
    /// Another run or target has the address.
    WrongTarget,
    /// No connection could be made.
    Unreachable,
    /// The connection broke, the answer was unusable or did not come in time.
    Broken,
    /// The caller or this entry gave up first; says nothing of the target.
    Abandoned,
};

/// Judges one target by how its requests ended, because status checks of targets pass while they
/// fail requests. A suspended target gets single requests as trials when the suspension ends.
class TargetOutcomes
{
public:
    void onOutcome(SendOutcome outcome, MonotonicTime now);
    /// A new run of the target starts without a history.
    void reset() { *this = TargetOutcomes(); }
    /// Whether requests should go elsewhere.
    bool isSuspended(MonotonicTime now) const;
    /// Whether the suspension is over and one request may show whether the target has recovered.
    bool isOnTrial(MonotonicTime now) const;
    /// A request goes to a target on trial; others wait for its outcome.
    void onTrialSent(MonotonicTime now);

private:
    void suspend(MonotonicTime now);

    double m_failures = 0;
    int m_unreachable = 0;
    int m_suspensions = 0;
    bool m_suspended = false;
    /// A trial is under way; it ends the suspension or begins the next one.
    bool m_trying = false;
    MonotonicTime m_until;
};

} // namespace Tarragon
