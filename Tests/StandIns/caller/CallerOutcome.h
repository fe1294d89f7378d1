#pragma once

#include <string>

namespace Tarragon {

/// How a request ended for its caller.
enum class CallerResult {
    /// The complete response to this request arrived.
    Whole,
    /// All attempts were refused; the entries reported that the request was not run.
    NotRun,
    /// The request ran or may have run, but its response did not arrive.
    Uncertain,
    /// No entry responded, or the body of the response is incomplete or belongs to another request.
    Lost,
};

/// Returns the name of the result in the journal.
std::string toString(CallerResult result);

/// Outcome of one request, as recorded in the journal.
struct CallerOutcome
{
    std::string requestId;
    std::string method;
    CallerResult result = CallerResult::Lost;
    int status = 0;
    int attempts = 0;
    double milliseconds = 0;
    std::string detail;
};

} // namespace Tarragon
