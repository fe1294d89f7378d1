#pragma once

#include "base/Ids.h"
#include "base/StrongNumber.h"
#include "base/Units.h"
#include "net/HttpServerLimits.h"

#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace Tarragon {

/// Version of a route table. Versions of one deployment only grow.
using RouteVersion = StrongNumber<struct RouteVersionTag>;

/// A route as named by the operators.
using RouteName = StrongId<struct RouteNameTag>;

/// One of the services that share a route's requests.
struct ServicePart
{
    ServiceId service;
    /// Share of the requests relative to the other parts' weights.
    double weight = 1;
};

/// Requests of one host below a path prefix.
struct Route
{
    RouteName name;
    std::string host;
    /// Begins and ends with a slash.
    std::string pathPrefix;
    /// Whether a request may run more than once.
    bool isRepeatable = false;
    /// Longest time that a caller is kept waiting.
    milliseconds timeout{ 0 };
    /// Time within which a response is of full use to the caller.
    milliseconds latencyGoal{ 0 };
    /// Rank among the routes; 0 is the most urgent.
    int rank = 0;
    /// At least one.
    std::vector<ServicePart> parts;
    /// Targets to which one request may be sent.
    int maxAttempts = 1;
    /// Whether targets answer faster for objects that they have handled before.
    bool hasObjectAffinity = false;
    /// Regions in which requests may be handled; empty: all.
    std::vector<RegionId> allowedRegions;

    bool allows(const RegionId &region) const;
};

/// A service whose targets are discovered at run time.
struct HostedService
{
    ServiceId id;
    /// Connections that one target accepts from all entries together.
    int maxConnections = 0;
    /// Time that a target stays cold after its start.
    milliseconds coldStart{ 0 };
    /// Requests a second that a cold target bears from all entries together; 0: not limited.
    double coldRequestsPerSecond = 0;
};

/// The whole desired state of one version. Immutable once it is in force.
struct RouteTable
{
    RouteVersion version;
    std::vector<Route> routes;
    std::map<ServiceId, HostedService> services;
    /// What callers may send.
    HttpServerLimits limits;

    /// The route of the host with the longest prefix that begins the path; null if there is none.
    const Route *find(std::string_view host, std::string_view path) const;
};

using RouteTablePtr = std::shared_ptr<const RouteTable>;

} // namespace Tarragon
