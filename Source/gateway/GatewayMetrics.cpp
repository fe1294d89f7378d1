#include "gateway/GatewayMetrics.h"

#include "base/MetricFamily.h"

#include <prometheus/text_serializer.h>

#include <algorithm>

namespace Tarragon {

namespace {

const prometheus::Histogram::BucketBoundaries SecondsBuckets = { 0.01, 0.025, 0.05, 0.1, 0.15,
                                                                 0.2,  0.25,  0.3,  0.4, 0.6,
                                                                 0.8,  1,     1.5,  2,   5 };

const prometheus::Histogram::BucketBoundaries LagBuckets = {
    0.001, 0.005, 0.01, 0.05, 0.1, 0.5, 1
};

prometheus::Gauge &gauge(prometheus::Registry &registry, const char *name, const char *help)
{
    return registerFamily(prometheus::BuildGauge(), name, help, registry).Add({});
}

} // namespace

GatewayMetrics::GatewayMetrics()
    : m_routeRequests{ registerFamily(prometheus::BuildCounter(), "tarragon_gateway_requests_total",
                                      "Requests that have ended, by route and outcome", m_registry),
                       registerFamily(
                               prometheus::BuildHistogram(), "tarragon_gateway_request_seconds",
                               "Time from arrival to the end of the answer, by route", m_registry),
                       "route",
                       MaxRouteLabels,
                       {},
                       {} }
    , m_workspaceRequests{ registerFamily(prometheus::BuildCounter(),
                                          "tarragon_gateway_workspace_requests_total",
                                          "Requests that have ended, by workspace and outcome",
                                          m_registry),
                           registerFamily(prometheus::BuildHistogram(),
                                          "tarragon_gateway_workspace_request_seconds",
                                          "Time from arrival to the end of the answer, by "
                                          "workspace",
                                          m_registry),
                           "workspace",
                           MaxWorkspaceLabels,
                           {},
                           {} }
    , m_sends(registerFamily(prometheus::BuildCounter(), "tarragon_gateway_sends_total",
                             "Requests sent to targets, by service and outcome", m_registry))
    , m_retries(registerFamily(prometheus::BuildCounter(), "tarragon_gateway_retries_total",
                               "Requests sent once more, by service", m_registry))
    , m_permits(registerFamily(
              prometheus::BuildCounter(), "tarragon_gateway_permits_total",
              "Permits for requests to limited and cold targets, by service and outcome",
              m_registry))
    , m_routeVersion(gauge(m_registry, "tarragon_gateway_route_version",
                           "Version of the route table in force"))
    , m_readyTargets(
              gauge(m_registry, "tarragon_gateway_ready_targets", "Targets that may get requests"))
    , m_liveEntries(gauge(m_registry, "tarragon_gateway_live_entries",
                          "Entries that live, this one included"))
    , m_limitedTargets(gauge(m_registry, "tarragon_gateway_limited_targets",
                             "Targets that state a limit for the requests of all entries"))
    , m_suspects(gauge(m_registry, "tarragon_gateway_suspect_requests",
                       "Requests under suspicion of ending targets."))
    , m_usageGranted(gauge(m_registry, "tarragon_gateway_usage_tokens_granted",
                           "Tokens of workspaces with caps granted since the start"))
    , m_usageDenied(gauge(m_registry, "tarragon_gateway_usage_tokens_denied",
                          "Tokens of workspaces with caps denied to waiting requests since the "
                          "start"))
    , m_usageCalls(gauge(m_registry, "tarragon_gateway_usage_calls",
                         "Calls to issuers of tokens on other entries since the start"))
    , m_storeUnavailable(
              gauge(m_registry, "tarragon_gateway_store_lost", "1 while calls to the store fail"))
    , m_inProgress(gauge(m_registry, "tarragon_gateway_requests_in_progress",
                         "Requests that have not ended"))
    , m_refusals(registerFamily(prometheus::BuildCounter(), "tarragon_gateway_refusals_total",
                                "Requests refused as not run, by service and reason", m_registry))
    , m_loopLag(registerFamily(prometheus::BuildHistogram(), "tarragon_gateway_loop_lag_seconds",
                               "Time by which a periodic task of the event loop was late",
                               m_registry)
                        .Add({}, LagBuckets))
    , m_storeAge(gauge(m_registry, "tarragon_gateway_store_age_seconds",
                       "Time since a call to the store last succeeded"))
    , m_targetViewAge(gauge(m_registry, "tarragon_gateway_target_view_age_seconds",
                            "Time since the known targets were last confirmed to be complete"))
    , m_linesDropped(gauge(m_registry, "tarragon_gateway_log_lines_dropped",
                           "Log lines that found no room since the start"))
    , m_linesSkipped(gauge(m_registry, "tarragon_gateway_log_lines_skipped",
                           "Lines of successful requests above the rate since the start"))
    , m_retriesLeft(registerFamily(prometheus::BuildGauge(), "tarragon_gateway_retries_left",
                                   "Repeats that the budget still allows, by service", m_registry))
    , m_sendsInProgress(registerFamily(prometheus::BuildGauge(),
                                       "tarragon_gateway_sends_in_progress",
                                       "Requests that are at targets, by service", m_registry))
{}

void GatewayMetrics::RequestSeries::record(const std::string &value, const std::string &outcome,
                                           microseconds duration)
{
    const bool hasLabel = histograms.contains(value) || histograms.size() < maxLabels;
    const std::string label = hasLabel ? value : "other";
    prometheus::Counter *&counter = counters[{ label, outcome }];
    if (counter == nullptr) {
        counter = &requests.Add({ { labelName, label }, { "outcome", outcome } });
    }
    counter->Increment();
    prometheus::Histogram *&histogram = histograms[label];
    if (histogram == nullptr) {
        histogram = &requestSeconds.Add({ { labelName, label } }, SecondsBuckets);
    }
    histogram->Observe(inSeconds(duration));
}

void GatewayMetrics::recordRequest(const RouteName &route, const std::string &outcome,
                                   microseconds duration)
{
    m_routeRequests.record(route.value(), outcome, duration);
}

void GatewayMetrics::recordWorkspaceRequest(const WorkspaceName &workspace,
                                            const std::string &outcome, microseconds duration)
{
    m_workspaceRequests.record(workspace.value(), outcome, duration);
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

void GatewayMetrics::recordPermit(const ServiceId &service, bool isGranted)
{
    m_permits
            .Add({ { "service", service.value() },
                   { "outcome", isGranted ? "granted" : "denied" } })
            .Increment();
}

void GatewayMetrics::recordRefusal(const ServiceId &service, const std::string &reason)
{
    m_refusals.Add({ { "service", service.value() }, { "reason", reason } }).Increment();
}

void GatewayMetrics::recordLoopLag(microseconds lag)
{
    m_loopLag.Observe(std::max(inSeconds(lag), 0.0));
}

void GatewayMetrics::setStoreAge(microseconds age)
{
    m_storeAge.Set(inSeconds(age));
}

void GatewayMetrics::setTargetViewAge(microseconds age)
{
    m_targetViewAge.Set(inSeconds(age));
}

void GatewayMetrics::setLogLines(std::uint64_t dropped, std::uint64_t skipped)
{
    m_linesDropped.Set(static_cast<double>(dropped));
    m_linesSkipped.Set(static_cast<double>(skipped));
}

void GatewayMetrics::setRetriesLeft(const ServiceId &service, int count)
{
    m_retriesLeft.Add({ { "service", service.value() } }).Set(count);
}

void GatewayMetrics::setSendsInProgress(const ServiceId &service, std::size_t count)
{
    m_sendsInProgress.Add({ { "service", service.value() } }).Set(static_cast<double>(count));
}

void GatewayMetrics::setRouteVersion(std::uint64_t version)
{
    m_routeVersion.Set(static_cast<double>(version));
}

void GatewayMetrics::setReadyTargetCount(std::size_t count)
{
    m_readyTargets.Set(static_cast<double>(count));
}

void GatewayMetrics::setSuspectCount(std::size_t count)
{
    m_suspects.Set(static_cast<double>(count));
}

void GatewayMetrics::setUsage(const UsageCaps::Counts &counts)
{
    m_usageGranted.Set(static_cast<double>(counts.granted));
    m_usageDenied.Set(static_cast<double>(counts.denied));
    m_usageCalls.Set(static_cast<double>(counts.calls));
}

void GatewayMetrics::setLimitedTargetCount(std::size_t count)
{
    m_limitedTargets.Set(static_cast<double>(count));
}

void GatewayMetrics::setLiveEntryCount(std::size_t count)
{
    m_liveEntries.Set(static_cast<double>(count));
}

void GatewayMetrics::setStoreUnavailable(bool isUnavailable)
{
    m_storeUnavailable.Set(isUnavailable ? 1 : 0);
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
