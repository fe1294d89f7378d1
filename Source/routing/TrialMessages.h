#pragma once

#include "base/Ids.h"
#include "base/Units.h"
#include "routing/SuspectRecord.h"

namespace Tarragon {

/// Asks for a permit to run a request under suspicion.
struct TrialRequest
{
    ServiceId service;
    /// What the asking entry knows about the request.
    SuspectRecord suspect;
    /// Time within which the trial ends.
    milliseconds duration{ 0 };
};

struct TrialReply
{
    bool isGranted = false;
    /// Time after which a trial may be permitted, if none is.
    milliseconds retryAfter{ 0 };
    /// What the issuer knows about the request.
    SuspectRecord suspect;
};

} // namespace Tarragon
