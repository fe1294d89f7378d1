#include "steering/RetryBudget.h"
#include "steering/RetryPolicy.h"

#include <gtest/gtest.h>

namespace Tarragon {
namespace {

MonotonicTime at(std::int64_t ms)
{
    return MonotonicTime(milliseconds(ms + 1'000'000));
}

// Retries of a failing service must not multiply its load.
TEST(RetryBudget, AllowsItsShareOfRecentRequests)
{
    RetryBudget budget(Share{ 100'000 });
    for (int i = 0; i < 200; ++i) {
        budget.onRequest(at(i));
    }
    int retries = 0;
    while (budget.tryRetry(at(300))) {
        ++retries;
    }
    EXPECT_EQ(retries, 20);
}

TEST(RetryBudget, ForgetsRequestsOutsideTheWindow)
{
    RetryBudget budget(Share{ 100'000 }, 0);
    for (int i = 0; i < 200; ++i) {
        budget.onRequest(at(0));
    }
    EXPECT_EQ(budget.available(at(5'000)), 20);
    EXPECT_EQ(budget.available(at(11'000)), 0);
}

// A service with little traffic must still be able to retry after one failed target.
TEST(RetryBudget, AllowsTheMinimumWithFewRequests)
{
    RetryBudget budget(Share{ 100'000 }, 1);
    budget.onRequest(at(0));
    EXPECT_TRUE(budget.tryRetry(at(1)));
    EXPECT_FALSE(budget.tryRetry(at(2)));
    EXPECT_TRUE(budget.tryRetry(at(12'000)));
}

class RetryPolicyTest : public testing::Test
{
protected:
    RetryDecision decide(const FailedAttempt &attempt, int targetsLeft = 1)
    {
        return RetryPolicy().decide(attempt, targetsLeft, m_budget, at(0));
    }
    FailedAttempt failed(Verdict verdict, bool idempotent) const
    {
        FailedAttempt attempt;
        attempt.verdict = verdict;
        attempt.idempotent = idempotent;
        attempt.deadline = at(1'000);
        attempt.tried = { TargetId("t-1") };
        return attempt;
    }

    RetryBudget m_budget{ Share{ 100'000 }, 1 };
};

// A booking that may have run must never be sent to a second target.
TEST_F(RetryPolicyTest, RetriesOnlyWhatCannotRunTwice)
{
    EXPECT_EQ(decide(failed(Verdict::MayHaveRun, false)), RetryDecision::Final);
    EXPECT_EQ(decide(failed(Verdict::Ran, true)), RetryDecision::Final);
    EXPECT_EQ(decide(failed(Verdict::NotRun, false)), RetryDecision::Retry);
}

// Otherwise the caller would get the start of one response followed by the end of another.
TEST_F(RetryPolicyTest, DoesNotRetryAfterTheResponseHasBegun)
{
    FailedAttempt attempt = failed(Verdict::MayHaveRun, true);
    attempt.responseStarted = true;
    EXPECT_EQ(decide(attempt), RetryDecision::Final);
}

TEST_F(RetryPolicyTest, KeepsDeadlineTargetsAndBudget)
{
    FailedAttempt late = failed(Verdict::NotRun, true);
    late.deadline = at(19);
    EXPECT_EQ(decide(late), RetryDecision::DeadlineTooNear);
    EXPECT_EQ(decide(failed(Verdict::NotRun, true), 0), RetryDecision::NoOtherTarget);
    EXPECT_EQ(decide(failed(Verdict::MayHaveRun, true)), RetryDecision::Retry);
    EXPECT_EQ(decide(failed(Verdict::MayHaveRun, true)), RetryDecision::BudgetExhausted);
}

} // namespace
} // namespace Tarragon
