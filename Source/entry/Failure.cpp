#include "entry/Failure.h"

#include <nlohmann/json.hpp>

namespace Tarragon {

void replyWithFailure(HttpExchange &exchange, const Failure &failure, const std::string &requestId)
{
    HttpHeaders headers;
    headers.set("Content-Type", "application/json");
    headers.set(VerdictHeader, std::string(toString(failure.verdict)));
    headers.set(ErrorHeader, failure.error);
    if (!requestId.empty()) {
        headers.set(RequestIdHeader, requestId);
    }
    if (failure.retryAfter.count() > 0) {
        // The header has whole seconds; the time is rounded up, so that no caller retries too
        // early.
        const seconds rounded = std::chrono::ceil<seconds>(failure.retryAfter);
        headers.set("Retry-After", std::to_string(rounded.count()));
    }
    const nlohmann::json body{ { "error", failure.error },
                               { "verdict", toString(failure.verdict) },
                               { "requestId", requestId },
                               { "retryAfterMs", failure.retryAfter.count() },
                               { "detail", failure.detail } };
    exchange.reply(failure.status, headers,
                   body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace) + "\n");
}

} // namespace Tarragon
