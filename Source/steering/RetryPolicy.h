#pragma once

#include "base/Ids.h"
#include "base/Units.h"
#include "base/Verdict.h"
#include "steering/RetryBudget.h"

#include <set>

namespace Tarragon {

/// A failed attempt, with the state of its request.
struct FailedAttempt
{
    /// Verdict of this attempt alone.
    Verdict verdict = Verdict::MayHaveRun;
    bool idempotent = false;
    /// Whether part of the response has been sent to the caller.
    bool responseStarted = false;
    MonotonicTime deadline;
    /// Targets tried so far, including the one that has just failed.
    std::set<TargetId> tried;
};

/// What to do after a failed attempt.
enum class RetryDecision {
    Retry,
    /// The request may have run and is not idempotent, or has run, or part of the response has been
    /// sent to the caller.
    Final,
    /// Too little time is left before the deadline.
    DeadlineTooNear,
    /// All targets that could serve the request have been tried.
    NoOtherTarget,
    /// The maximum number of attempts is reached, or the retry budget of the service is used up.
    BudgetExhausted,
};

/// Decides on retries within one service.
struct RetryPolicy
{
    /// Maximum number of attempts, including the first one.
    int maxAttempts = 3;
    /// Minimum time before the deadline for a retry. A later retry would only add load.
    microseconds minimumTimeLeft{ 20'000 };

    /// Decides whether to retry, and counts the retry against the budget if so. "targetsLeft" is
    /// the number of targets that have not been tried and could serve the request.
    RetryDecision decide(const FailedAttempt &attempt, int targetsLeft, RetryBudget &budget,
                         MonotonicTime now) const;
};

} // namespace Tarragon
