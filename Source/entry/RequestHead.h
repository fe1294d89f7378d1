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

/// The parsed head of a request under "/s/".
struct RequestHead
{
    ServiceId service;
    /// Path and query of the request to the target, without "/s/SERVICE".
    std::string targetUri;
    RequestId requestId;
    /// The caller's number of this attempt under the request id, from 1; 0 if the caller sent none.
    int attempt = 0;
    /// Whether another entry has forwarded the request.
    bool isForwarded = false;
    /// IPv4 address of the caller, which determines its region.
    std::string callerAddress;
    /// Time until the deadline; nothing if the caller sent none.
    std::optional<milliseconds> timeLeft;
};

/// Longest request id; a seed has fewer than 200 bytes and the part of the caller at most 64.
constexpr std::size_t MaxRequestIdBytes = 300;

/// Longest time until the deadline that a caller may send.
constexpr milliseconds MaxDeadline{ 3'600'000 };

/// Parses the head of a request under "/s/". Returns the failure to reply with if a part of the
/// head is malformed.
std::variant<RequestHead, Failure> parseRequestHead(const HttpExchange &exchange);

/// Returns the verdict for a request that is refused before its service is known. A later attempt
/// under a request id may follow one that has run at another entry, so that of requests that are
/// not safe to repeat only a first attempt is known not to have run.
Verdict verdictOfEarlyRefusal(const HttpExchange &exchange);

/// Returns the first rule of the service that matches the request. Without a matching rule GET,
/// HEAD and OPTIONS are idempotent and of class lookup, and all other methods are not idempotent
/// and of class booking.
RequestRule ruleOf(const ServiceConfiguration &service, const std::string &method,
                   const std::string &targetUri);

} // namespace Tarragon
