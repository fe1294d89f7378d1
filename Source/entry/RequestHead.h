#pragma once

#include "base/Ids.h"
#include "base/Units.h"
#include "document/ServiceConfiguration.h"
#include "entry/Failure.h"
#include "net/HttpExchange.h"

#include <optional>
#include <string>
#include <variant>

namespace Tarragon {

/// What an entry reads from the head of a request to carry.
struct RequestHead
{
    ServiceId service;
    /// Path and query that the target sees.
    std::string targetUri;
    RequestId requestId;
    /// The caller's number of this attempt under the id, from 1; 0 if the caller does not tell.
    int attempt = 0;
    /// Whether another entry has forwarded the request.
    bool isForwarded = false;
    /// Address of the caller, for the choice of its region.
    std::string callerAddress;
    /// Time left; nothing if the caller names none.
    std::optional<milliseconds> timeLeft;
};

/// Longest request id in bytes; a seed has fewer than 200 and the caller's part at most 64.
constexpr std::size_t MaxRequestIdBytes = 300;

/// Longest deadline that a caller may name.
constexpr milliseconds MaxDeadline{ 3'600'000 };

/// Reads the head of a request under "/s/". Returns the failure to answer with if a part of it is
/// malformed.
std::variant<RequestHead, Failure> parseRequestHead(const HttpExchange &exchange);

/// Verdict of a request that is refused before its service is known. A later attempt under an id
/// may follow one that has run elsewhere, so that only a first attempt is known not to have run.
Verdict verdictOfEarlyRefusal(const HttpExchange &exchange);

/// Rule for a request; without a matching rule GET, HEAD and OPTIONS are idempotent lookups, and
/// everything else is a booking that is not idempotent.
RequestRule ruleOf(const ServiceConfiguration &service, const std::string &method,
                   const std::string &targetUri);

} // namespace Tarragon
