#include "entry/Metrics.h"

#include "base/MetricFamily.h"

#include <prometheus/text_serializer.h>

namespace Tarragon {

namespace {

using Buckets = prometheus::Histogram::BucketBoundaries;

/// Upper bounds in seconds for the duration of requests, from a fast request within one failure
/// domain to the default request timeout.
const Buckets RequestBuckets{ 0.001, 0.002, 0.005, 0.01, 0.02, 0.03, 0.05, 0.075,
                              0.1,   0.2,   0.5,   1,    2,    5,    10 };

/// Upper bounds in seconds for the decision of a lookup, around its required maximum of 2
/// microseconds.
const Buckets LookupBuckets{ 0.0000005, 0.000001, 0.000002, 0.000005, 0.00001, 0.0001, 0.001 };

} // namespace

Metrics::Metrics()
    : m_requestSeconds(
            registerFamily(prometheus::BuildHistogram(), "tarragonstage_request_duration_seconds",
                           "Time from a request's arrival to the end of its response", m_registry))
    , m_requests(registerFamily(prometheus::BuildCounter(), "tarragonstage_requests_total",
                                "Requests by service, class, status and verdict", m_registry))
    , m_lookupSeconds(registerFamily(prometheus::BuildHistogram(),
                                     "tarragonstage_lookup_duration_seconds",
                                     "Time to decide a lookup", m_registry))
    , m_lookups(registerFamily(prometheus::BuildCounter(), "tarragonstage_lookups_total",
                               "Lookups by service and result", m_registry))
    , m_retries(registerFamily(prometheus::BuildCounter(), "tarragonstage_retries_total",
                               "Requests sent to a further target", m_registry))
    , m_forwards(registerFamily(prometheus::BuildCounter(), "tarragonstage_forwards_total",
                                "Requests forwarded to another entry", m_registry))
    , m_generation(registerFamily(prometheus::BuildGauge(), "tarragonstage_generation",
                                  "Generation of the document in force", m_registry)
                           .Add({}))
    , m_planVersion(registerFamily(prometheus::BuildGauge(), "tarragonstage_plan_version",
                                   "Version of the plan in force", m_registry)
                            .Add({}))
    , m_inProgress(registerFamily(prometheus::BuildGauge(), "tarragonstage_requests_in_progress",
                                  "Carried requests that have not ended", m_registry)
                           .Add({}))
    , m_peersReachable(registerFamily(prometheus::BuildGauge(), "tarragonstage_peers_reachable",
                                      "Other entries heard from within the timeout", m_registry)
                               .Add({}))
{}

void Metrics::recordRequest(const ServiceId &service, RequestClass requestClass, int status,
                            Verdict verdict, microseconds duration)
{
    prometheus::Histogram *&histogram = m_requestHistograms[RequestKey(service, requestClass)];
    if (histogram == nullptr) {
        histogram = &m_requestSeconds.Add(
                { { "service", service.value() }, { "class", toString(requestClass) } },
                RequestBuckets);
    }
    histogram->Observe(inSeconds(duration));
    m_requests
            .Add({ { "service", service.value() },
                   { "class", toString(requestClass) },
                   { "status", std::to_string(status) },
                   { "verdict", std::string(toString(verdict)) } })
            .Increment();
}

void Metrics::recordLookup(const ServiceId &service, bool found, microseconds duration)
{
    prometheus::Histogram *&histogram = m_lookupHistograms[service];
    if (histogram == nullptr) {
        histogram = &m_lookupSeconds.Add({ { "service", service.value() } }, LookupBuckets);
    }
    histogram->Observe(inSeconds(duration));
    m_lookups.Add({ { "service", service.value() }, { "result", found ? "found" : "none" } })
            .Increment();
}

void Metrics::recordRetry(const ServiceId &service)
{
    m_retries.Add({ { "service", service.value() } }).Increment();
}

void Metrics::recordForward(const ServiceId &service)
{
    m_forwards.Add({ { "service", service.value() } }).Increment();
}

void Metrics::setGeneration(std::uint64_t generation)
{
    m_generation.Set(static_cast<double>(generation));
}

void Metrics::setPlanVersion(std::uint64_t version)
{
    m_planVersion.Set(static_cast<double>(version));
}

void Metrics::setRequestsInProgress(std::size_t count)
{
    m_inProgress.Set(static_cast<double>(count));
}

void Metrics::setPeersReachable(std::size_t count)
{
    m_peersReachable.Set(static_cast<double>(count));
}

std::string Metrics::text() const
{
    return prometheus::TextSerializer().Serialize(m_registry.Collect());
}

} // namespace Tarragon
