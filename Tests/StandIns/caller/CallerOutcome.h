#pragma once

#include <string>

namespace Tarragon {

/// How a request ended for its caller.
enum class CallerResult {
    /// The whole response to this request arrived.
    Whole,
    /// The last word was that the request was not run.
    NotRun,
    /// The last word was that the request ran or may have run, without its response.
    Uncertain,
    /// No entry gave a final response, or a response belonged to another request.
    Lost,
};

/// The spelling used in the journal.
std::string toString(CallerResult result);

/// Record of one request.
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
