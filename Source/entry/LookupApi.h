#pragma once

#include "entry/Metrics.h"
#include "entry/ServingState.h"
#include "net/EventLoop.h"
#include "net/HttpExchange.h"

#include <functional>
#include <string>

namespace Tarragon {

/// Serves "GET /v1/lookup", which returns the entries that a caller should send its requests to.
class LookupApi
{
public:
    /// seed returns the current request-id seed, or an empty text if there is none.
    LookupApi(EventLoop &loop, ServingState &state, Metrics &metrics,
              std::function<std::string()> seed);

    void handle(const HttpExchangePtr &exchange);
    /// Returns all inputs of the decision of a lookup as JSON, for "GET /admin/v1/why".
    std::string explain(const ServiceId &service, const std::string &callerAddress) const;

private:
    std::string format(const ServiceConfiguration &service, const LookupDecision &decision) const;

    EventLoop &m_loop;
    ServingState &m_state;
    Metrics &m_metrics;
    std::function<std::string()> m_seed;
};

} // namespace Tarragon
