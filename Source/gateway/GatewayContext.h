#pragma once

#include "gateway/GatewayMetrics.h"
#include "gateway/GatewayState.h"
#include "gateway/LineSampler.h"
#include "net/EventLoop.h"
#include "net/HttpClient.h"

namespace Tarragon {

/// What all requests of an entry share.
struct GatewayContext
{
    EventLoop &loop;
    HttpClient &client;
    GatewayState &state;
    GatewayMetrics &metrics;
    /// For lines of successful requests.
    LineSampler &successLines;
};

} // namespace Tarragon
