#include "gateway/GatewayMetrics.h"

#include <prometheus/text_serializer.h>

namespace Tarragon {

namespace {

const prometheus::Histogram::BucketBoundaries SecondsBuckets = { 0.01, 0.025, 0.05, 0.1, 0.15,
                                                                 0.2,  0.25,  0.3,  0.4, 0.6,
                                                                 0.8,  1,     1.5,  2,   5 };

prometheus::Gauge &gauge(prometheus::Registry &registry, const char *name, const char *help)
{
    return prometheus::BuildGauge().Name(name).Help(help).Register(registry).Add({});
}

} // namespace

GatewayMetrics::GatewayMetrics()
    : m_requests(prometheus::BuildCounter()
                         .Name("tarragon_gateway_requests_total")
                         .Help("Requests that have ended, by route and outcome")
                         .Register(m_registry))
    , m_requestSeconds(prometheus::BuildHistogram()
                               .Name("tarragon_gateway_request_seconds")
                               .Help("Time from arrival to the end of the answer, by route")
                               .Register(m_registry))
    , m_sends(prometheus::BuildCounter()
                      .Name("tarragon_gateway_sends_total")
                      .Help("Requests sent to targets, by service and outcome")
                      .Register(m_registry))
    , m_retries(prometheus::BuildCounter()
                        .Name("tarragon_gateway_retries_total")
                        .Help("Requests sent once more, by service")
                        .Register(m_registry))
    , m_routeVersion(gauge(m_registry, "tarragon_gateway_route_version",
                           "Version of the route table in force"))
    , m_readyTargets(
              gauge(m_registry, "tarragon_gateway_ready_targets", "Targets that may get requests"))
    , m_liveEntries(gauge(m_registry, "tarragon_gateway_live_entries",
                          "Entries that live, this one included"))
    , m_storeLost(
              gauge(m_registry, "tarragon_gateway_store_lost", "1 while calls to the store fail"))
    , m_inProgress(gauge(m_registry, "tarragon_gateway_requests_in_progress",
                         "Requests that have not ended"))
{}

std::string GatewayMetrics::labelOf(const RouteName &route)
{
    if (m_histograms.contains(route.value()) || m_histograms.size() < MaxRouteLabels) {
        return route.value();
    }
    return "other";
}

void GatewayMetrics::recordRequest(const RouteName &route, const std::string &outcome,
                                   microseconds duration)
{
    const std::string label = labelOf(route);
    prometheus::Counter *&counter = m_requestCounters[{ label, outcome }];
    if (counter == nullptr) {
        counter = &m_requests.Add({ { "route", label }, { "outcome", outcome } });
    }
    counter->Increment();
    prometheus::Histogram *&histogram = m_histograms[label];
    if (histogram == nullptr) {
        histogram = &m_requestSeconds.Add({ { "route", label } }, SecondsBuckets);
    }
    histogram->Observe(std::chrono::duration<double>(duration).count());
}

void GatewayMetrics::recordSend(const ServiceId &service, const std::string &outcome)
{
    prometheus::Counter *&counter = m_sendCounters[{ service.value(), outcome }];
    if (counter == nullptr) {
        counter = &m_sends.Add({ { "service", service.value() }, { "outcome", outcome } });
    }
    counter->Increment();
}

void GatewayMetrics::recordRetry(const ServiceId &service)
{
    m_retries.Add({ { "service", service.value() } }).Increment();
}

void GatewayMetrics::setRouteVersion(std::uint64_t version)
{
    m_routeVersion.Set(static_cast<double>(version));
}

void GatewayMetrics::setReadyTargets(std::size_t count)
{
    m_readyTargets.Set(static_cast<double>(count));
}

void GatewayMetrics::setLiveEntries(std::size_t count)
{
    m_liveEntries.Set(static_cast<double>(count));
}

void GatewayMetrics::setStoreLost(bool isLost)
{
    m_storeLost.Set(isLost ? 1 : 0);
}

void GatewayMetrics::setRequestsInProgress(std::size_t count)
{
    m_inProgress.Set(static_cast<double>(count));
}

std::string GatewayMetrics::text() const
{
    return prometheus::TextSerializer().Serialize(m_registry.Collect());
}

} // namespace Tarragon
