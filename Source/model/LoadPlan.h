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
    /// Entries that serve the domain's callers.
    int entries = 1;
};

/// One-way delays of a modelled deployment.
struct ModelDelays
{
    milliseconds caller{ 3 };
    milliseconds withinDomain{ 0 };
    milliseconds betweenDomains{ 4 };
    milliseconds betweenRegions{ 20 };
};

/// A service of a modelled deployment and its targets, which are all alike.
struct ModelService
{
    ServiceId id;
    std::map<FailureDomainId, int> targets;
    SlotCount slots{ 1 };
    /// Requests that wait at a target; further ones are declined as not run.
    int queue = 0;
    /// Objects that a target remembers, those handled last.
    int remembered = 0;
    /// Part of the work that remains for a remembered object.
    double knownWork = 1;
};

/// A route of a modelled deployment and the traffic on it.
struct ModelRoute
{
    RouteName name;
    ServiceId service;
    /// Requests a second from the callers of each failure domain.
    double perSecond = 0;
    /// Mean work on an object that the target does not remember.
    milliseconds work{ 0 };
    milliseconds goal{ 0 };
    milliseconds deadline{ 0 };
    /// Number of objects that requests are about, all equally often; 0: requests name none.
    int objects = 0;
    /// Times that a caller asks again after a refusal.
    int returns = 1;
    bool isRepeatable = true;
    int maxAttempts = 2;
};

/// What goes wrong in a modelled deployment.
enum class TroubleKind {
    /// Traffic grows by the factor.
    Burst,
    /// Targets forget all objects.
    Forget,
    /// Targets take no connections; the registry drops them after its lag.
    Down,
    /// Targets do not answer.
    Silent,
    /// The work of targets takes the factor's times as long.
    Slow,
    /// Targets decline the factor's part of their requests.
    Shed,
    /// All entries start again and have forgotten what they learned.
    Restart,
};

/// One trouble and when it is there.
struct ModelTrouble
{
    TroubleKind kind = TroubleKind::Burst;
    /// Counted from the start of traffic.
    milliseconds at{ 0 };
    milliseconds duration{ 0 };
    /// Service whose targets are hit; empty: all services.
    ServiceId service;
    /// Part of the service's targets that is hit.
    double share = 1;
    double factor = 1;
};

/// A load to play: a deployment, its traffic and its troubles.
struct LoadPlan
{
    std::string name;
    milliseconds duration{ 30'000 };
    /// Time after which entries know of a change of the targets.
    milliseconds registryLag{ 1'500 };
    ModelDelays delays;
    std::vector<ModelDomain> domains;
    std::map<ServiceId, ModelService> services;
    std::vector<ModelRoute> routes;
    std::vector<ModelTrouble> troubles;

    const ModelDomain *findDomain(const FailureDomainId &id) const;
};

/// Parses a load file. Returns nothing and adds all findings if there is any fault; unknown keys,
/// and names that are not defined, are faults.
std::optional<LoadPlan> parseLoadPlan(const std::string &text, const std::string &file,
                                      Findings &findings);

} // namespace Tarragon
