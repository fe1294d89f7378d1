#pragma once

#include "routing/PermitMessages.h"
#include "routing/TargetLimits.h"
#include "routing/TokenBucket.h"

#include <map>

namespace Tarragon {

/// Issues the permits for requests to limited and cold targets, one token bucket a target. A new
/// issuer starts with empty buckets, because another entry may have issued permits until now.
class PermitIssuer
{
public:
    /// Time after the last request for a permit after which a bucket is removed.
    static constexpr seconds Retention{ 60 };

    explicit PermitIssuer(TargetLimits &limits)
        : m_limits(limits)
    {}

    /// Grants or denies a permit. `fraction` is the part of the limit and of the cold rate that
    /// this issuer may use.
    PermitReply issue(const PermitRequest &request, double fraction, MonotonicTime now);
    /// Removes buckets that have not been used for the retention time.
    void removeUnused(MonotonicTime now);

private:
    struct Bucket
    {
        TokenBucket tokens;
        MonotonicTime usedAt;
    };

    TargetLimits &m_limits;
    std::map<TargetId, Bucket> m_buckets;
};

} // namespace Tarragon
