#pragma once

#include "base/Units.h"

namespace Tarragon {

/// Outcomes of sending a request to a target.
enum class SendOutcome {
    /// The target responded.
    Answered,
    /// The target responded with a server error.
    Failed,
    /// The target declined the request without executing it.
    Declined,
    /// Another target, or another process of the same target, listens at the address.
    WrongTarget,
    /// No connection could be established.
    Unreachable,
    /// The connection broke, or the response was invalid or timed out.
    Broken,
    /// The caller or this entry aborted the request; not evidence about the target.
    Aborted,
};

/// Ejects a target whose requests fail (outlier ejection), because status checks can pass while the
/// target fails requests. After the ejection time the target is half-open: it gets single probe
/// requests until one succeeds.
class TargetEjection
{
public:
    void onOutcome(SendOutcome outcome, MonotonicTime now);
    /// Clears the history of the target.
    void reset() { *this = TargetEjection(); }
    /// Whether the target is ejected, so that requests should go to other targets.
    bool isEjected(MonotonicTime now) const;
    /// Whether the target has been ejected and not been readmitted since.
    bool wasEjected() const { return m_wasEjected; }
    /// Whether the ejection time has passed and one probe request may test whether the target has
    /// recovered.
    bool isHalfOpen(MonotonicTime now) const;
    /// Called when a probe request is sent to a half-open target; the target remains ejected for
    /// other requests until the probe ends or times out.
    void onProbeSent(MonotonicTime now);

private:
    void eject(MonotonicTime now);

    double m_failureRatio = 0;
    int m_connectFailures = 0;
    int m_ejections = 0;
    bool m_wasEjected = false;
    /// Whether a probe request is in progress; its outcome readmits the target or ejects it again.
    bool m_isProbing = false;
    MonotonicTime m_ejectedUntil;
};

} // namespace Tarragon
