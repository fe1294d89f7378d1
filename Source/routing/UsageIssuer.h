#pragma once

#include "routing/DecayingRate.h"
#include "routing/UsageMessages.h"
#include "routing/UsageTenure.h"

#include <map>

namespace Tarragon {

/// Issues the tokens of workspaces with caps, one token bucket a workspace. A new issuer starts
/// with an empty bucket and at a fraction of the rate, because another entry may have issued tokens
/// until now and may still do so. Its bucket fills from the time at which it became the issuer.
class UsageIssuer
{
public:
    /// Time after the last request for tokens after which a bucket is removed.
    static constexpr seconds Retention{ 60 };

    /// Grants as many of the tokens as the bucket has. `fraction` is the part of the cap that this
    /// issuer may use; `entries` is the number of entries that may ask; `start` is since when the
    /// local entry is the issuer.
    UsageReply issue(const UsageRequest &request, double fraction, std::size_t entries,
                     const UsageTenure::Start &start, MonotonicTime now);
    /// Removes buckets that have not been used for the retention time.
    void removeUnused(MonotonicTime now);

private:
    struct Bucket
    {
        UsageCap cap;
        RouteVersion version;
        double tokens = 0;
        MonotonicTime refilledAt;
        UsageTenure::Start start;
        MonotonicTime usedAt;
        DecayingRate granted{ RatePeriod };
        DecayingRate denied{ RatePeriod };
    };

    /// Period over which the rates of granted and denied tokens are measured.
    static constexpr microseconds RatePeriod{ 2'000'000 };

    Bucket &bucketOf(const UsageRequest &request, const UsageTenure::Start &start,
                     MonotonicTime now);
    static void refill(Bucket &bucket, double fraction, MonotonicTime now);

    std::map<WorkspaceName, Bucket> m_buckets;
};

} // namespace Tarragon
