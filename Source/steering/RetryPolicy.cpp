#include "steering/RetryPolicy.h"

namespace Tarragon {

RetryDecision RetryPolicy::decide(const FailedAttempt &attempt, int targetsLeft,
                                  RetryBudget &budget, MonotonicTime now) const
{
    const bool harmless = attempt.verdict == Verdict::NotRun
                          || (attempt.idempotent && attempt.verdict == Verdict::MayHaveRun);
    if (!harmless || attempt.responseStarted) {
        return RetryDecision::Final;
    }
    if (attempt.deadline - now < minimumTimeLeft) {
        return RetryDecision::DeadlineTooNear;
    }
    if (targetsLeft <= 0) {
        return RetryDecision::NoOtherTarget;
    }
    if (static_cast<int>(attempt.tried.size()) >= maxAttempts || !budget.tryRetry(now)) {
        return RetryDecision::BudgetExhausted;
    }
    return RetryDecision::Retry;
}

} // namespace Tarragon
