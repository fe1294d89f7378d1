#pragma once

#include "base/Ids.h"
#include "base/Units.h"
#include "routing/RouteTable.h"
#include "routing/UsageCaps.h"
#include "routing/Workspace.h"

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>

#include <map>
#include <string>
#include <tuple>

namespace Tarragon {

/// Metrics of an entry that serves hosted routes, rendered as text for the metrics address.
class GatewayMetrics
{
public:
    GatewayMetrics();

    /// Counts a request that has ended and records its duration. `outcome` is one of the outcomes
    /// in the request log.
    void recordRequest(const RouteName &route, const std::string &outcome, microseconds duration);
    /// Counts a request of a workspace that has ended and records its duration.
    void recordWorkspaceRequest(const WorkspaceName &workspace, const std::string &outcome,
                                microseconds duration);
    /// Counts a request sent to a target; `outcome` states how it ended there.
    void recordSend(const ServiceId &service, const std::string &outcome);
    void recordRetry(const ServiceId &service);
    /// Counts a decision on a permit to send a request to a limited or cold target.
    void recordPermit(const ServiceId &service, bool isGranted);
    /// Counts a refused request; `reason` is one of the reasons in the request log.
    void recordRefusal(const ServiceId &service, const std::string &reason);
    /// Records by how much a periodic task of the event loop was late.
    void recordLoopLag(microseconds lag);
    void setRouteVersion(std::uint64_t version);
    void setReadyTargetCount(std::size_t count);
    void setLiveEntryCount(std::size_t count);
    void setStoreUnavailable(bool isUnavailable);
    void setRequestsInProgress(std::size_t count);
    /// Sets the time since a call to the store last succeeded.
    void setStoreAge(microseconds age);
    /// Sets the time since the known targets were last confirmed to be complete.
    void setTargetViewAge(microseconds age);
    /// Sets the number of lines dropped because the log buffer was full, and of lines of successful
    /// requests skipped above the configured rate.
    void setLogLines(std::uint64_t dropped, std::uint64_t skipped);
    void setRetriesLeft(const ServiceId &service, int count);
    /// Sets the number of targets that state a limit.
    void setLimitedTargetCount(std::size_t count);
    void setSuspectCount(std::size_t count);
    /// Sets what this entry granted and denied as an issuer of tokens of workspaces with caps, and
    /// its calls to issuers.
    void setUsage(const UsageCaps::Counts &counts);
    void setSendsInProgress(const ServiceId &service, std::size_t count);

    std::string text() const;

private:
    /// Maximum number of route labels. Further routes share one label, so that a large route table
    /// does not increase the number of metrics without bound.
    static constexpr std::size_t MaxRouteLabels = 64;

    /// Maximum number of workspace labels. Further workspaces share one label.
    static constexpr std::size_t MaxWorkspaceLabels = 100;
    /// Counters and histograms of requests by a label and their outcome. Labels beyond a maximum
    /// number share the label "other".
    struct RequestSeries
    {
        prometheus::Family<prometheus::Counter> &requests;
        prometheus::Family<prometheus::Histogram> &requestSeconds;
        const char *labelName;
        std::size_t maxLabels;
        std::map<std::string, prometheus::Histogram *> histograms;
        std::map<std::pair<std::string, std::string>, prometheus::Counter *> counters;

        void record(const std::string &value, const std::string &outcome, microseconds duration);
    };

    prometheus::Registry m_registry;
    RequestSeries m_routeRequests;
    RequestSeries m_workspaceRequests;
    prometheus::Family<prometheus::Counter> &m_sends;
    prometheus::Family<prometheus::Counter> &m_retries;
    prometheus::Family<prometheus::Counter> &m_permits;
    prometheus::Gauge &m_routeVersion;
    prometheus::Gauge &m_readyTargets;
    prometheus::Gauge &m_liveEntries;
    prometheus::Gauge &m_limitedTargets;
    prometheus::Gauge &m_suspects;
    prometheus::Gauge &m_usageGranted;
    prometheus::Gauge &m_usageDenied;
    prometheus::Gauge &m_usageCalls;
    prometheus::Gauge &m_storeUnavailable;
    prometheus::Gauge &m_inProgress;
    prometheus::Family<prometheus::Counter> &m_refusals;
    prometheus::Histogram &m_loopLag;
    prometheus::Gauge &m_storeAge;
    prometheus::Gauge &m_targetViewAge;
    prometheus::Gauge &m_linesDropped;
    prometheus::Gauge &m_linesSkipped;
    prometheus::Family<prometheus::Gauge> &m_retriesLeft;
    prometheus::Family<prometheus::Gauge> &m_sendsInProgress;
    std::map<std::pair<std::string, std::string>, prometheus::Counter *> m_sendCounters;
};

} // namespace Tarragon
