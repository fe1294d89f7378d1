#pragma once

#include "base/Units.h"
#include "base/Verdict.h"
#include "net/HttpExchange.h"

#include <string>

namespace Tarragon {

/// A request that ends without a target's response.
struct Failure
{
    int status = 500;
    /// Short fixed name, such as "no-capacity"; see docs/interface.md.
    std::string error;
    Verdict verdict = Verdict::NotRun;
    /// What was found and expected, for people.
    std::string detail;
    /// Time after which another attempt makes sense; 0: none.
    milliseconds retryAfter{ 0 };
};

/// Names the failure in a response; its absence shows that the response is a target's.
constexpr const char *ErrorHeader = "Tarragon-Error";
constexpr const char *VerdictHeader = "Tarragon-Verdict";
constexpr const char *RequestIdHeader = "Tarragon-Request-Id";
constexpr const char *DeadlineHeader = "Tarragon-Deadline-Ms";
constexpr const char *AttemptHeader = "Tarragon-Attempt";
constexpr const char *ForwardedByHeader = "Tarragon-Forwarded-By";
constexpr const char *CallerHeader = "Tarragon-Caller";

/// Ends the exchange with the failure as JSON and in the headers.
void replyWithFailure(HttpExchange &exchange, const Failure &failure, const std::string &requestId);

} // namespace Tarragon
