#pragma once

#include "routing/ServiceDispatcher.h"

#include <string>

namespace Tarragon::RoutingFixture {

inline constexpr MonotonicTime Start{ seconds(1'000) };

inline MonotonicTime at(double secondsAfterStart)
{
    return Start + microseconds(static_cast<std::int64_t>(secondsAfterStart * 1e6));
}

/// Two regions with one failure domain each, "north" with "n1" and "south" with "s1".
inline EntryLocality locality()
{
    return EntryLocality{ FailureDomainId("n1"),
                          RegionId("north"),
                          { { FailureDomainId("n1"), RegionId("north") },
                            { FailureDomainId("s1"), RegionId("south") } } };
}

inline DiscoveredTarget target(const std::string &id, const std::string &domain = "n1",
                               int slots = 4)
{
    DiscoveredTarget target;
    target.id = TargetId(id);
    target.service = ServiceId("catalog");
    target.address = Endpoint{ "127.0.0.1", 1 };
    target.domain = FailureDomainId(domain);
    target.slots = SlotCount{ slots };
    target.startTimeMs = 1;
    return target;
}

inline HostedService service()
{
    HostedService service;
    service.id = ServiceId("catalog");
    service.coldDuration = seconds(3);
    service.coldRequestsPerSecond = 10;
    return service;
}

inline Route route()
{
    Route route;
    route.name = RouteName("parts");
    route.host = "stand.example";
    route.pathPrefix = "/parts/";
    route.isIdempotent = true;
    route.timeout = milliseconds(1'200);
    route.latencyGoal = milliseconds(250);
    route.weightedServices = { WeightedService{ ServiceId("catalog"), 1 } };
    route.maxAttempts = 2;
    route.hasObjectAffinity = true;
    return route;
}

inline PlacementQuery query(const Route &route, std::uint64_t object)
{
    PlacementQuery query;
    query.route = &route;
    query.objectHash = object * 0x9e3779b97f4a7c15ULL;
    query.requestHash = object;
    query.timeLeft = seconds(1);
    return query;
}

} // namespace Tarragon::RoutingFixture
