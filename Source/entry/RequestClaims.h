#pragma once

#include "base/Ids.h"
#include "base/Units.h"
#include "base/Verdict.h"
#include "entry/Failure.h"
#include "net/HttpHeaders.h"

#include <sigc++/sigc++.h>

#include <cstdint>
#include <string>
#include <variant>

namespace Tarragon {

/// The first response to a non-idempotent request, kept for later attempts.
struct KeptResponse
{
    int status = 0;
    HttpHeaders headers;
    std::string body;
    /// Whether the body was too long to keep.
    bool isBodyDropped = false;
};

/// Permission to start a non-idempotent request.
struct ClaimGranted
{
    /// Names the claim when the outcome is recorded.
    std::uint64_t claim = 0;
    /// The request must be handed to the target's connection before this time.
    MonotonicTime startBefore;
};

/// The request has run; a later attempt gets the first response.
struct ClaimReplay
{
    KeptResponse response;
};

/// Answer to a claim: permission, the first response, or the failure to answer with.
using ClaimAnswer = std::variant<ClaimGranted, ClaimReplay, Failure>;

} // namespace Tarragon
