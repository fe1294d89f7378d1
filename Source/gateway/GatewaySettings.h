#pragma once

#include "base/Ids.h"
#include "document/Finding.h"
#include "document/Topology.h"
#include "gateway/GatewayBounds.h"

#include <map>
#include <optional>
#include <string>

namespace Tarragon {

/// Settings of an entry that serves hosted routes, read from its YAML file.
struct GatewaySettings
{
    InstanceId instance;
    FailureDomainId domain;
    RegionId region;
    /// Where callers send requests.
    Endpoint front;
    /// Where the platform asks whether the entry takes callers.
    Endpoint readiness;
    /// Where callers ask for entries.
    Endpoint lookup;
    /// Where other entries send RPC.
    Endpoint rpc;
    /// Where metrics are served.
    Endpoint metrics;
    /// The platform's object store.
    Endpoint store;
    /// All failure domains with their regions.
    std::map<FailureDomainId, RegionId> regions;
    /// Whether all entries of the deployment start now for the first time.
    bool isFirstStart = false;
    GatewayBounds bounds;
    std::string logLevel = "INFO";
    /// Lines of successful requests that are logged in a second at most.
    double loggedSuccessesPerSecond = 100;

    bool operator==(const GatewaySettings &) const = default;
};

/// Parses the text of a settings file. Returns nothing and adds all findings if there is any fault;
/// unknown keys are faults.
std::optional<GatewaySettings> parseGatewaySettings(const std::string &text,
                                                    const std::string &file, Findings &findings);

/// Reads and parses a settings file. A file that cannot be read is a finding.
std::optional<GatewaySettings> readGatewaySettings(const std::string &file, Findings &findings);

} // namespace Tarragon
