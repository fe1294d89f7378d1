#pragma once

#include "base/Ids.h"
#include "base/Units.h"
#include "document/Topology.h"

#include <map>
#include <string>
#include <vector>

namespace Tarragon {

/// Class of a request. Under overload, bulk requests are shed first and bookings last.
enum class RequestClass { Lookup, Booking, Bulk };

/// Returns the spelling used in the document and in metrics: "lookup", "booking" or "bulk".
std::string toString(RequestClass requestClass);

/// A target of a service.
struct Target
{
    TargetId id;
    FailureDomainId domain;
    Endpoint http;
    /// Number of requests that the target can run at the same time.
    SlotCount slots;
};

/// Assigns matching requests to a class. The first rule of the service that matches is used.
struct RequestRule
{
    /// HTTP method, or "*" for any.
    std::string method;
    /// Prefix of the request path after the service's name.
    std::string pathPrefix;
    RequestClass requestClass = RequestClass::Lookup;
    /// Whether running the request twice has the same effect as running it once.
    bool idempotent = true;
};

/// A daily peak of the load of a service, in local time.
struct DailyPeak
{
    /// Name in the time zone database, such as "Europe/Athens".
    std::string timeZone;
    /// Start and end as time after local midnight. A peak whose end is before its start ends on the
    /// next day.
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
    /// For each region of callers, the share of their requests that each region serves. Callers of
    /// a region without weights are served by their own region first.
    std::map<RegionId, std::map<RegionId, Share>> weights;
    /// Maximum time to connect to a target.
    milliseconds connectTimeout{ 250 };
    /// Maximum time for a request whose caller sends no deadline.
    milliseconds requestTimeout{ 10'000 };
    /// Time that a caller may use the result of a lookup.
    milliseconds lookupTtl{ 2'000 };
    /// Maximum number of retries as a share of recent requests (retry budget).
    Share retryShare{ 100'000 };
    /// Maximum number of requests per target that may wait for a slot.
    int queuePerTarget = 2;
    /// Maximum number of connections per target, over all entries of its failure domain.
    int connectionsPerTarget = 0;
    std::vector<DailyPeak> peaks;
    /// Path of the targets' health endpoint.
    std::string healthPath = "/healthz";
    /// Path of the targets' load endpoint.
    std::string loadPath = "/load";
};

} // namespace Tarragon
