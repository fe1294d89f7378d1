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

/// The first response to a non-idempotent request, kept to be replayed to later attempts.
struct KeptResponse
{
    int status = 0;
    HttpHeaders headers;
    std::string body;
    /// Whether the body exceeded the maximum size that is kept.
    bool isBodyDropped = false;
};

/// The request may be started. The permission is checked again right before the request is sent.
struct ClaimGranted
{};

/// An earlier attempt of the request has run; this attempt is answered with its response.
struct ClaimReplay
{
    KeptResponse response;
};

/// Result of a claim: the permission, the first response, or the failure to reply with.
using ClaimResult = std::variant<ClaimGranted, ClaimReplay, Failure>;

} // namespace Tarragon
