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

/// Functions by which requests that are not idempotent obtain permission to run and record their
/// outcome. Set by the daemon; see AtMostOnceRunner.
struct ClaimFunctions
{
    /// Starts a claim for permission and returns its number. The callback is called once, from the
    /// event loop, unless finish() is called before.
    std::function<std::uint64_t(const RequestId &id, int attempt, MonotonicTime deadline,
                                std::function<void(const ClaimResult &)> callback)>
            begin;
    /// Whether the permission is still valid; to be called right before the request is sent.
    std::function<bool(std::uint64_t claim)> start;
    /// Records that the request did not run at its target, so that it may be started at another
    /// one.
    std::function<void(std::uint64_t claim)> notStarted;
    /// Records the end of the request and returns the verdict to send to its caller.
    std::function<Verdict(std::uint64_t claim, Verdict verdict, const KeptResponse &response)>
            finish;
};

/// The parts of the daemon that all carried requests share.
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
    /// Whether the given number of bytes may be sent to a region now; keeps the links between
    /// regions below their caps. Empty: no limit.
    std::function<bool(const RegionId &to, std::size_t bytes)> mayUseLink;
};

} // namespace Tarragon
