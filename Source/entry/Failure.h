#pragma once

#include "base/Units.h"
#include "base/Verdict.h"
#include "net/HttpExchange.h"

#include <string>

namespace Tarragon {

/// Describes why a request ends without a response of a target.
struct Failure
{
    int status = 500;
    /// Short fixed name, such as "no-capacity"; see docs/interface.md.
    std::string error;
    Verdict verdict = Verdict::NotRun;
    /// Text for people: what was found and what was expected.
    std::string detail;
    /// Time after which the caller may try again, sent as Retry-After; 0: not sent.
    milliseconds retryAfter{ 0 };
};

/// Header with the name of the failure. A response without it comes from a target.
constexpr const char *ErrorHeader = "Tarragon-Error";
constexpr const char *VerdictHeader = "Tarragon-Verdict";
constexpr const char *RequestIdHeader = "Tarragon-Request-Id";
constexpr const char *DeadlineHeader = "Tarragon-Deadline-Ms";
constexpr const char *AttemptHeader = "Tarragon-Attempt";
constexpr const char *ForwardedByHeader = "Tarragon-Forwarded-By";
constexpr const char *CallerHeader = "Tarragon-Caller";

/// Replies to the exchange with the failure, in the headers and as a JSON body.
void replyWithFailure(HttpExchange &exchange, const Failure &failure, const std::string &requestId);

} // namespace Tarragon
