#pragma once

#include "base/Ids.h"
#include "base/Units.h"
#include "document/Finding.h"
#include "routing/RouteTable.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace Tarragon {

/// A failure domain of a modelled deployment.
struct ModelDomain
{
    FailureDomainId id;
    RegionId region;
    /// Number of entries that serve the callers of the failure domain.
    int entries = 1;
};

/// One-way network delays of a modelled deployment.
struct ModelDelays
{
    /// Between a caller and an entry of its failure domain.
    milliseconds caller{ 3 };
    /// Between an entry and a target of the same failure domain.
    milliseconds withinDomain{ 0 };
    /// Between failure domains of one region.
    milliseconds betweenDomains{ 4 };
    milliseconds betweenRegions{ 20 };
};

/// A service of a modelled deployment. All its targets have the same properties.
struct ModelService
{
    ServiceId id;
    /// Number of targets in each failure domain.
    std::map<FailureDomainId, int> targets;
    SlotCount slots{ 1 };
    /// Maximum number of requests queued at a target. Further requests are declined without
    /// running.
    int queue = 0;
    /// Number of most recently used objects that a target keeps cached.
    int remembered = 0;
    /// Fraction of the work that a request about a cached object takes.
    double knownWork = 1;
};

/// A route of a modelled deployment and the traffic on it.
struct ModelRoute
{
    RouteName name;
    ServiceId service;
    /// Mean rate from the callers of each failure domain, in requests per second.
    double perSecond = 0;
    /// Mean processing time of a request about an object that the target has not cached.
    milliseconds work{ 0 };
    /// Latency goal, counted from the caller's first attempt.
    milliseconds goal{ 0 };
    /// Time after the first attempt at which the caller stops waiting.
    milliseconds deadline{ 0 };
    /// Number of objects that requests are about, uniformly distributed. If 0, requests have no
    /// object.
    int objects = 0;
    /// Maximum number of times that a caller retries after a refusal.
    int returns = 1;
    /// Whether a request may be retried at another target.
    bool isRepeatable = true;
    /// Maximum number of targets that an entry sends one attempt of a caller to.
    int maxAttempts = 2;
    /// Priority among the routes; 0 is the most urgent.
    int priority = 0;
};

/// Kinds of faults that are injected into a modelled deployment.
enum class FaultKind {
    /// Traffic is multiplied by the factor.
    Burst,
    /// Targets lose all cached objects.
    Forget,
    /// Targets accept no connections. The registry removes them after LoadPlan::registryLag.
    Down,
    /// Targets accept requests but never respond.
    Unresponsive,
    /// The processing time at targets is multiplied by the factor.
    Slow,
    /// Targets decline requests with the factor as probability.
    Shed,
    /// All entries restart and lose their state.
    Restart,
};

/// A fault that is injected for a time.
struct InjectedFault
{
    FaultKind kind = FaultKind::Burst;
    /// Counted from the start of traffic.
    milliseconds at{ 0 };
    milliseconds duration{ 0 };
    /// Service whose targets are affected. If empty, targets of all services are affected.
    ServiceId service;
    /// Probability that a target of the service is affected.
    double share = 1;
    /// Its meaning depends on the kind; see FaultKind.
    double factor = 1;
};

/// A load to simulate: a deployment, its traffic and the faults injected into it.
struct LoadPlan
{
    std::string name;
    /// Time during which callers send new requests.
    milliseconds duration{ 30'000 };
    /// Time until a change of the targets reaches the entries.
    milliseconds registryLag{ 1'500 };
    ModelDelays delays;
    std::vector<ModelDomain> domains;
    std::map<ServiceId, ModelService> services;
    std::vector<ModelRoute> routes;
    std::vector<InjectedFault> faults;

    /// Returns nullptr if there is no such failure domain.
    const ModelDomain *findDomain(const FailureDomainId &id) const;
};

/// Parses a load file in YAML. On any error, returns std::nullopt and appends all findings. Unknown
/// keys and undefined names are errors.
std::optional<LoadPlan> parseLoadPlan(const std::string &text, const std::string &file,
                                      Findings &findings);

} // namespace Tarragon
