#include "routing/TargetOutcomes.h"

#include <algorithm>

namespace Tarragon {

namespace {

/// Weight of one outcome: a target that fails everything is suspended after three requests, one
/// that fails a third is not.
constexpr double OutcomeWeight = 0.25;
/// Smoothed part of failures from which a target is suspended.
constexpr double SuspendShare = 0.55;
/// Connections in a row that could not be made; a lost packet explains one.
constexpr int UnreachableLimit = 2;
/// First suspension; doubles while trials fail. Short, because many troubles last a few seconds.
constexpr milliseconds FirstSuspension{ 500 };
constexpr milliseconds LongestSuspension{ 4'000 };
/// Time after which an unanswered trial is forgotten.
constexpr milliseconds TrialTime{ 1'500 };
/// A declined request says less than a failed one: a full target declines too.
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
    case SendOutcome::Abandoned:
        break;
    }
    return 0;
}

} // namespace

void TargetOutcomes::onOutcome(SendOutcome outcome, MonotonicTime now)
{
    if (outcome == SendOutcome::Abandoned) {
        return;
    }
    const bool isTrial = m_trying || isOnTrial(now);
    m_trying = false;
    if (outcome == SendOutcome::Answered && isTrial) {
        reset();
        return;
    }
    m_failures += OutcomeWeight * (severity(outcome) - m_failures);
    m_unreachable = outcome == SendOutcome::Unreachable ? m_unreachable + 1 : 0;
    if (isTrial) {
        m_until = now;
    }
    const bool isTrialFailed = isTrial && severity(outcome) >= 1;
    if (isTrialFailed || m_failures > SuspendShare || m_unreachable >= UnreachableLimit
        || outcome == SendOutcome::WrongTarget) {
        suspend(now);
    }
}

bool TargetOutcomes::isSuspended(MonotonicTime now) const
{
    return m_suspended && now < m_until;
}

bool TargetOutcomes::isOnTrial(MonotonicTime now) const
{
    return m_suspended && now >= m_until;
}

void TargetOutcomes::onTrialSent(MonotonicTime now)
{
    m_trying = true;
    m_until = now + TrialTime;
}

void TargetOutcomes::suspend(MonotonicTime now)
{
    if (isSuspended(now) && m_suspensions > 0) {
        // Requests that were sent before the suspension end during it.
        return;
    }
    const milliseconds time = std::min(LongestSuspension, FirstSuspension * (1 << m_suspensions));
    m_suspensions = std::min(m_suspensions + 1, 3);
    m_suspended = true;
    m_until = now + time;
}

} // namespace Tarragon
