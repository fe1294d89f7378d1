#pragma once

#include "base/Ids.h"
#include "base/Units.h"
#include "base/Verdict.h"
#include "document/ServiceConfiguration.h"

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>

#include <map>
#include <memory>
#include <string>
#include <tuple>

namespace Tarragon {

/// Keeps the metrics of the daemon in a prometheus-cpp registry.
class Metrics
{
public:
    Metrics();

    /// Records a carried request that has ended; duration is the time from its arrival to the end
    /// of its response.
    void recordRequest(const ServiceId &service, RequestClass requestClass, int status,
                       Verdict verdict, microseconds duration);
    /// Records a lookup and the time that its decision took.
    void recordLookup(const ServiceId &service, bool found, microseconds duration);
    void recordRetry(const ServiceId &service);
    void recordForward(const ServiceId &service);
    void setGeneration(std::uint64_t generation);
    void setPlanVersion(std::uint64_t version);
    void setRequestsInProgress(std::size_t count);
    void setPeersReachable(std::size_t count);

    /// Returns all metrics in the Prometheus text format.
    std::string text() const;

private:
    using RequestKey = std::tuple<ServiceId, RequestClass>;

    prometheus::Registry m_registry;
    prometheus::Family<prometheus::Histogram> &m_requestSeconds;
    prometheus::Family<prometheus::Counter> &m_requests;
    prometheus::Family<prometheus::Histogram> &m_lookupSeconds;
    prometheus::Family<prometheus::Counter> &m_lookups;
    prometheus::Family<prometheus::Counter> &m_retries;
    prometheus::Family<prometheus::Counter> &m_forwards;
    prometheus::Gauge &m_generation;
    prometheus::Gauge &m_planVersion;
    prometheus::Gauge &m_inProgress;
    prometheus::Gauge &m_peersReachable;
    std::map<RequestKey, prometheus::Histogram *> m_requestHistograms;
    std::map<ServiceId, prometheus::Histogram *> m_lookupHistograms;
};

} // namespace Tarragon
