#pragma once

#include "base/Ids.h"
#include "base/Units.h"
#include "routing/TargetLimit.h"

#include <optional>

namespace Tarragon {

/// Asks the issuer for a permit to send one request to a limited or cold target.
struct PermitRequest
{
    TargetId target;
    /// Failure domain of the target, from which the issuer is chosen.
    FailureDomainId domain;
    /// What the asking entry knows about the target's limit.
    TargetLimit limit;
    /// Rate of requests that the target tolerates while it is cold; nothing if the asking entry
    /// knows it as warm.
    std::optional<RequestRate> coldRate;
};

struct PermitReply
{
    bool isGranted = false;
    /// Time after which a permit may be available, if none is granted.
    milliseconds retryAfter{ 0 };
    /// What the issuer knows about the target's limit.
    TargetLimit limit;
};

} // namespace Tarragon
