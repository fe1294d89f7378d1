#pragma once

#include "base/Ids.h"
#include "base/Units.h"
#include "base/Verdict.h"
#include "steering/RetryBudget.h"

#include <set>

namespace Tarragon {

/// An attempt that has failed, with what came before it.
struct FailedAttempt
{
    /// Verdict of this attempt alone.
    Verdict verdict = Verdict::MayHaveRun;
    bool idempotent = false;
    /// Whether part of the response has been sent to the caller.
    bool responseStarted = false;
    MonotonicTime deadline;
    /// Targets tried so far, with the one that has failed.
    std::set<TargetId> tried;
};

/// What to do after a failed attempt.
enum class RetryDecision {
    Retry,
    /// The request may have run and running it again would do harm, or the response has begun.
    Final,
    /// Too little time is left before the deadline.
    DeadlineTooNear,
    /// No target is left that was not tried.
    NoOtherTarget,
    /// Too many attempts, or the budget of the service is used up.
    BudgetExhausted,
};

/// Decides on retries within one service.
struct RetryPolicy
{
    /// Attempts in all, with the first one.
    int maxAttempts = 3;
    /// A retry with less time than this before the deadline would only add load.
    microseconds minimumTimeLeft{ 20'000 };

    /// Decides, and takes the retry out of the budget if the answer is Retry. targetsLeft is the
    /// number of targets that were not tried and could serve the request.
    RetryDecision decide(const FailedAttempt &attempt, int targetsLeft, RetryBudget &budget,
                         MonotonicTime now) const;
};

} // namespace Tarragon
