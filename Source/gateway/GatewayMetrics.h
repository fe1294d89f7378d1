#pragma once

#include "base/Ids.h"
#include "base/Units.h"
#include "routing/RouteTable.h"

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>

#include <map>
#include <string>
#include <tuple>

namespace Tarragon {

/// Metrics of an entry that serves hosted routes, as text for the metrics address.
class GatewayMetrics
{
public:
    GatewayMetrics();

    /// A request has ended. The outcome is one of a few words of the request log.
    void recordRequest(const RouteName &route, const std::string &outcome, microseconds duration);
    /// A request was sent to a target; the outcome is the way in which it ended there.
    void recordSend(const ServiceId &service, const std::string &outcome);
    void recordRetry(const ServiceId &service);
    /// A request was refused; the reason is one of a few words of the request log.
    void recordRefusal(const ServiceId &service, const std::string &reason);
    /// Time by which a periodic task of the loop was late.
    void recordLoopLag(microseconds lag);
    void setRouteVersion(std::uint64_t version);
    void setReadyTargets(std::size_t count);
    void setLiveEntries(std::size_t count);
    void setStoreLost(bool isLost);
    void setRequestsInProgress(std::size_t count);
    /// Time since a call to the store last succeeded.
    void setStoreAge(microseconds age);
    /// Lines that found no room, and lines of successful requests above the rate.
    void setLogLines(std::uint64_t dropped, std::uint64_t skipped);
    void setRetriesLeft(const ServiceId &service, int count);
    void setSendsInProgress(const ServiceId &service, std::size_t count);

    std::string text() const;

private:
    /// Routes beyond this number share one label, so that a large table does not grow the metrics.
    static constexpr std::size_t MaxRouteLabels = 64;

    std::string labelOf(const RouteName &route);

    prometheus::Registry m_registry;
    prometheus::Family<prometheus::Counter> &m_requests;
    prometheus::Family<prometheus::Histogram> &m_requestSeconds;
    prometheus::Family<prometheus::Counter> &m_sends;
    prometheus::Family<prometheus::Counter> &m_retries;
    prometheus::Gauge &m_routeVersion;
    prometheus::Gauge &m_readyTargets;
    prometheus::Gauge &m_liveEntries;
    prometheus::Gauge &m_storeLost;
    prometheus::Gauge &m_inProgress;
    prometheus::Family<prometheus::Counter> &m_refusals;
    prometheus::Histogram &m_loopLag;
    prometheus::Gauge &m_storeAge;
    prometheus::Gauge &m_linesDropped;
    prometheus::Gauge &m_linesSkipped;
    prometheus::Family<prometheus::Gauge> &m_retriesLeft;
    prometheus::Family<prometheus::Gauge> &m_sendsInProgress;
    std::map<std::string, prometheus::Histogram *> m_histograms;
    std::map<std::pair<std::string, std::string>, prometheus::Counter *> m_requestCounters;
    std::map<std::pair<std::string, std::string>, prometheus::Counter *> m_sendCounters;
};

} // namespace Tarragon
