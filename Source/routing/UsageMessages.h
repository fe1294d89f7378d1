#pragma once

#include "base/Units.h"
#include "routing/RouteTable.h"

#include <cstdint>
#include <vector>

namespace Tarragon {

/// Asks the issuer for tokens of one workspace, each of which permits one request to run.
struct UsageRequest
{
    WorkspaceName workspace;
    /// The workspace's cap in the asking entry's route table, and the version of that table.
    UsageCap cap;
    RouteVersion version;
    /// Tokens for requests that are waiting.
    std::uint32_t needed = 0;
    /// Tokens for requests that are expected within the next moments.
    std::uint32_t expected = 0;
    /// Unused tokens of earlier replies, which the issuer may grant again.
    std::uint32_t returned = 0;
};

/// The issuer's reply to a UsageRequest.
struct UsageReply
{
    WorkspaceName workspace;
    /// Whether the replying entry is the issuer by its own view. If not, it grants nothing.
    bool isIssuer = false;
    std::uint32_t granted = 0;
    /// Time after which a request that got no token may be sent again by its caller.
    milliseconds retryAfter{ 0 };
    /// Time after which the entry may ask again if it got fewer tokens than it needed.
    milliseconds askAgainAfter{ 0 };
    /// Recently granted tokens as a fraction of the cap.
    double utilization = 0;
};

using UsageRequests = std::vector<UsageRequest>;
using UsageReplies = std::vector<UsageReply>;

} // namespace Tarragon
