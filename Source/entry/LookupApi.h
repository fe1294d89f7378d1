#pragma once

#include "entry/Metrics.h"
#include "entry/ServingState.h"
#include "net/EventLoop.h"
#include "net/HttpExchange.h"

#include <functional>
#include <string>

namespace Tarragon {

/// Answers "GET /v1/lookup": which entries a caller should use.
class LookupApi
{
public:
    /// The seed function gives the request-id seed of the present moment; empty: none.
    LookupApi(EventLoop &loop, ServingState &state, Metrics &metrics,
              std::function<std::string()> seed);

    void handle(const HttpExchangePtr &exchange);
    /// Every input of the decision, as JSON; for "why".
    std::string explain(const ServiceId &service, const std::string &callerAddress) const;

private:
    std::string format(const ServiceConfiguration &service, const LookupDecision &decision) const;

    EventLoop &m_loop;
    ServingState &m_state;
    Metrics &m_metrics;
    std::function<std::string()> m_seed;
};

} // namespace Tarragon
