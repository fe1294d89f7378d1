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

/// How requests that are not idempotent get permission to run and record their outcome. Filled by
/// the daemon; see AtMostOnceRunner.
struct ClaimFunctions
{
    /// Begins to ask for permission and returns the number of the claim. The callback is called
    /// once, from the loop, unless finish() is called before.
    std::function<std::uint64_t(const RequestId &id, int attempt, MonotonicTime deadline,
                                std::function<void(const ClaimResult &)> callback)>
            begin;
    /// Checks the permission; to be called right before the request is sent.
    std::function<bool(std::uint64_t claim)> start;
    /// A target has refused the request; it may be started at another one.
    std::function<void(std::uint64_t claim)> notStarted;
    /// Records the end of the request and returns the verdict that its caller is to be told.
    std::function<Verdict(std::uint64_t claim, Verdict verdict, const KeptResponse &response)>
            finish;
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
