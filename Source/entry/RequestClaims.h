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

/// The request may be started; the permission is checked again when it is.
struct ClaimGranted
{};

/// The request has run; a later attempt gets the first response.
struct ClaimReplay
{
    KeptResponse response;
};

/// Result of a claim: permission, the first response, or the failure to answer with.
using ClaimResult = std::variant<ClaimGranted, ClaimReplay, Failure>;

} // namespace Tarragon
