#pragma once

#include "base/Ids.h"
#include "base/Units.h"
#include "document/Topology.h"

#include <map>
#include <string>
#include <vector>

namespace Tarragon {

/// Class of a request. Under overload bulk requests are shed first and bookings last.
enum class RequestClass { Lookup, Booking, Bulk };

/// The spelling used in the document and in metrics: "lookup", "booking" or "bulk".
std::string toString(RequestClass requestClass);

/// A target of a service.
struct Target
{
    TargetId id;
    FailureDomainId domain;
    Endpoint http;
    /// Requests that the target can run at the same time.
    SlotCount slots;
};

/// Assigns requests to a class. The first rule that matches decides.
struct RequestRule
{
    /// HTTP method, or "*" for any.
    std::string method;
    /// Prefix of the path behind the service's name.
    std::string pathPrefix;
    RequestClass requestClass = RequestClass::Lookup;
    /// Whether running the request twice has the same effect as running it once.
    bool idempotent = true;
};

/// The daily peak of a service in civil time.
struct DailyPeak
{
    /// Name in the time zone database, such as "Europe/Athens".
    std::string timeZone;
    /// Start and end after local midnight.
    std::chrono::minutes start{ 0 };
    std::chrono::minutes end{ 0 };
    /// Load during the peak as a multiple of the load outside it.
    double factor = 1;
};

/// A "services.<name>" section.
struct ServiceConfiguration
{
    ServiceId id;
    std::vector<Target> targets;
    std::vector<RequestRule> rules;
    /// Share of each region in the service's traffic, for each region of callers. Regions of
    /// callers that are not named are served by their own region first.
    std::map<RegionId, std::map<RegionId, Share>> weights;
    /// Time to connect to a target.
    milliseconds connectTimeout{ 250 };
    /// Longest time for a request whose caller names no deadline.
    milliseconds requestTimeout{ 10'000 };
    /// Time that a caller may use a lookup's answer.
    milliseconds lookupTtl{ 2'000 };
    /// Retries as a share of recent requests.
    Share retryShare{ 100'000 };
    /// Requests that may wait for a slot, for each target.
    int queuePerTarget = 2;
    /// Connections per target, over all entries of its failure domain.
    int connectionsPerTarget = 0;
    std::vector<DailyPeak> peaks;
    /// Path of the targets' health endpoint.
    std::string healthPath = "/healthz";
    /// Path of the targets' load endpoint.
    std::string loadPath = "/load";
};

} // namespace Tarragon
