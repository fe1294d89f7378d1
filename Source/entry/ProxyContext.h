#pragma once

#include "base/Ids.h"
#include "entry/Metrics.h"
#include "entry/RequestClaims.h"
#include "entry/ServingState.h"
#include "net/EventLoop.h"
#include "net/HttpClient.h"
#include "steering/DrainState.h"
#include "steering/RetryPolicy.h"

#include <functional>

namespace Tarragon {

/// How requests get permission to start and record their outcome. Filled by the daemon.
struct ClaimFunctions
{
    /// Asks for permission to start a non-idempotent request; answers exactly once, perhaps before
    /// it returns.
    std::function<void(const RequestId &id, bool isFirstAttempt,
                       sigc::slot<void(const ClaimAnswer &)> callback)>
            claim;
    /// Records how a claimed request ended. NotRun gives the id free again.
    std::function<void(const RequestId &id, std::uint64_t claim, Verdict verdict,
                       const KeptResponse &response)>
            recordOutcome;
};

/// What all carried requests of a process use.
struct ProxyContext
{
    EventLoop &loop;
    HttpClient &client;
    const Settings &settings;
    ServingState &state;
    Metrics &metrics;
    DrainState &drain;
    ClaimFunctions claims;
    RetryPolicy retryPolicy;
    /// Asks whether bytes may be sent to a region now; bounds the use of links.
    std::function<bool(const RegionId &to, std::size_t bytes)> mayUseLink;
};

} // namespace Tarragon
