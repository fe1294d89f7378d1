#include "routing/TargetEjection.h"

#include <algorithm>

namespace Tarragon {

namespace {

/// Weight of one outcome: a target that fails all requests is ejected after three, one that fails a
/// third is not.
constexpr double OutcomeWeight = 0.25;
/// Moving average of the failure ratio above which a target is ejected.
constexpr double EjectionThreshold = 0.55;
/// Consecutive connection failures after which a target is ejected; a single one may be due to a
/// lost packet.
constexpr int ConnectFailureLimit = 2;
/// First ejection time; doubles while probes fail. Short, because many failures last only a few
/// seconds.
constexpr milliseconds MinEjectionTime{ 500 };
constexpr milliseconds MaxEjectionTime{ 4'000 };
/// Time after which a probe without a response no longer blocks the next one.
constexpr milliseconds ProbeTimeout{ 1'500 };
/// A declined request is weaker evidence than a failed one, because a fully loaded target declines
/// too.
constexpr double DeclinedSeverity = 0.5;

double severity(SendOutcome outcome)
{
    switch (outcome) {
    case SendOutcome::Failed:
    case SendOutcome::Unreachable:
    case SendOutcome::Broken:
    case SendOutcome::WrongTarget:
        return 1;
    case SendOutcome::Declined:
        return DeclinedSeverity;
    case SendOutcome::Answered:
    case SendOutcome::Aborted:
        break;
    }
    return 0;
}

} // namespace

void TargetEjection::onOutcome(SendOutcome outcome, MonotonicTime now)
{
    if (outcome == SendOutcome::Aborted) {
        return;
    }
    const bool isProbe = m_isProbing || isHalfOpen(now);
    m_isProbing = false;
    if (outcome == SendOutcome::Answered && isProbe) {
        reset();
        return;
    }
    m_failureRatio += OutcomeWeight * (severity(outcome) - m_failureRatio);
    m_connectFailures = outcome == SendOutcome::Unreachable ? m_connectFailures + 1 : 0;
    if (isProbe) {
        m_ejectedUntil = now;
    }
    const bool isFailedProbe = isProbe && severity(outcome) >= 1;
    if (isFailedProbe || m_failureRatio > EjectionThreshold
        || m_connectFailures >= ConnectFailureLimit || outcome == SendOutcome::WrongTarget) {
        eject(now);
    }
}

bool TargetEjection::isEjected(MonotonicTime now) const
{
    return m_wasEjected && now < m_ejectedUntil;
}

bool TargetEjection::isHalfOpen(MonotonicTime now) const
{
    return m_wasEjected && now >= m_ejectedUntil;
}

void TargetEjection::onProbeSent(MonotonicTime now)
{
    m_isProbing = true;
    m_ejectedUntil = now + ProbeTimeout;
}

void TargetEjection::eject(MonotonicTime now)
{
    if (isEjected(now) && m_ejections > 0) {
        // Requests sent before the ejection may fail during it and do not extend it.
        return;
    }
    const milliseconds time = std::min(MaxEjectionTime, MinEjectionTime * (1 << m_ejections));
    m_ejections = std::min(m_ejections + 1, 3);
    m_wasEjected = true;
    m_ejectedUntil = now + time;
}

} // namespace Tarragon
