#pragma once

#include "base/Ids.h"
#include "base/StrongNumber.h"
#include "base/Units.h"
#include "net/HttpServerLimits.h"
#include "routing/RegionSet.h"
#include "routing/WorkspaceTable.h"

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace Tarragon {

/// Version of a route table. Versions of one deployment only increase.
using RouteVersion = StrongNumber<struct RouteVersionTag>;

/// Name that operators gave to a route.
using RouteName = StrongId<struct RouteNameTag>;

/// One of the services over which a route's requests are split, with its weight.
struct WeightedService
{
    ServiceId service;
    /// Weight relative to those of the route's other services.
    double weight = 1;
};

/// Defines how requests for one host and path prefix are handled.
struct Route
{
    RouteName name;
    std::string host;
    /// Path prefix; begins and ends with a slash.
    std::string pathPrefix;
    /// Whether requests are idempotent, that is, may be executed more than once.
    bool isIdempotent = false;
    /// Maximum time from a request to its response.
    milliseconds timeout{ 0 };
    /// Latency within which a response has full value for the caller.
    milliseconds latencyGoal{ 0 };
    /// Priority among the routes; 0 is the most urgent.
    int priority = 0;
    /// Services over which the requests are split; at least one.
    std::vector<WeightedService> weightedServices;
    /// Maximum number of targets to which one request is sent, including retries.
    int maxAttempts = 1;
    /// Whether targets respond faster for objects that they have handled before, so that requests
    /// for an object should go to the same targets.
    bool hasObjectAffinity = false;
    /// Whether requests need no key of a workspace.
    bool isPublic = false;
    /// Regions in which requests may be handled.
    RegionSet allowedRegions;

    bool allows(const RegionId &region) const { return allowedRegions.contains(region); }
};

/// A service whose targets are discovered at run time.
struct HostedService
{
    ServiceId id;
    /// Maximum number of connections that one target accepts from all entries together.
    int maxConnectionsPerTarget = 0;
    /// Time for which a target is cold after its start.
    milliseconds coldDuration{ 0 };
    /// Maximum rate of requests per second to a cold target from all entries together; 0 means
    /// unlimited.
    double coldRequestsPerSecond = 0;
};

/// Complete routing configuration of one version. Immutable once it has been applied.
struct RouteTable
{
    RouteVersion version;
    std::vector<Route> routes;
    std::map<ServiceId, HostedService> services;
    /// Workspaces whose keys authenticate requests; nothing if requests need no key.
    std::optional<WorkspaceTable> workspaces;
    /// Limits on the HTTP requests of callers.
    HttpServerLimits limits;

    /// Returns the route of the host whose path prefix is the longest that matches the path; null
    /// if none matches.
    const Route *find(std::string_view host, std::string_view path) const;
};

using RouteTablePtr = std::shared_ptr<const RouteTable>;

} // namespace Tarragon
