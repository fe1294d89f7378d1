#pragma once

#include "gateway/GatewayMetrics.h"
#include "gateway/GatewayState.h"
#include "gateway/LogLineSampler.h"
#include "net/EventLoop.h"
#include "net/HttpClient.h"
#include "routing/RequestTrials.h"
#include "routing/TargetPermits.h"
#include "routing/UsageCaps.h"

namespace Tarragon {

/// Objects that all requests of an entry share.
struct GatewayContext
{
    EventLoop &loop;
    HttpClient &client;
    GatewayState &state;
    TargetPermits &permits;
    RequestTrials &trials;
    UsageCaps &usageCaps;
    GatewayMetrics &metrics;
    /// Selects the successful requests that are logged.
    LogLineSampler &successSampler;
};

} // namespace Tarragon
