#pragma once

#include "routing/DecayingRate.h"
#include "routing/TokenBucket.h"
#include "routing/UsageMessages.h"

#include <deque>

namespace Tarragon {

/// Tokens of one workspace that an entry holds, and what it knows about the workspace's cap.
class UsageTokens
{
public:
    /// Time from the request for tokens to their last use. Together with the horizon below it
    /// bounds the tokens that were granted before a span of time and are used in it.
    static constexpr milliseconds Validity{ 600 };

    /// Takes a token. Returns false if there is none that is still valid.
    bool take(MonotonicTime now);
    /// Adds tokens from the reply to a call that was sent at `askedAt`.
    void add(std::uint32_t count, MonotonicTime askedAt);
    /// Returns a token whose request was not sent to a target.
    void giveBack(MonotonicTime now);
    /// Records a request that needs a token.
    void onDemand(MonotonicTime now) { m_demand.add(1, now); }
    /// Records the reply of the issuer.
    void onReply(double utilization, MonotonicTime now);
    /// Takes a token of those that the entry may use while the issuer does not reply: somewhat less
    /// than its own recent rate, for a short time, and only if the cap was far from used up.
    bool takeWithoutIssuer(MonotonicTime now);
    /// Returns the number of tokens that should be asked for, so that requests of the next moments
    /// do not wait; 0 while the stock lasts.
    std::uint32_t expectedNeed(MonotonicTime now);
    /// Returns the number of expired tokens since the last call, which the issuer may grant again.
    std::uint32_t takeReturned(MonotonicTime now);

private:
    struct Batch
    {
        MonotonicTime expiresAt;
        std::uint32_t count = 0;
    };

    static constexpr microseconds RatePeriod{ 2'000'000 };

    void expire(MonotonicTime now);
    std::uint32_t stock(MonotonicTime now);

    /// In the order of their expiry.
    std::deque<Batch> m_batches;
    std::uint32_t m_expired = 0;
    DecayingRate m_demand{ RatePeriod };
    DecayingRate m_admitted{ RatePeriod };
    TokenBucket m_withoutIssuer;
    double m_utilization = 1;
    bool m_hasReply = false;
    MonotonicTime m_repliedAt;
};

} // namespace Tarragon
