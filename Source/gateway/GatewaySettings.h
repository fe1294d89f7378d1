#pragma once

#include "base/Ids.h"
#include "base/Units.h"
#include "document/Finding.h"
#include "document/Topology.h"
#include "gateway/GatewayBounds.h"
#include "net/MemoryBudget.h"

#include <cstdint>
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
    /// Address for requests of callers.
    Endpoint front;
    /// Address of the platform's readiness check.
    Endpoint readiness;
    /// Address for lookups of entries by callers.
    Endpoint lookup;
    /// Address for RPC of other entries.
    Endpoint rpc;
    /// Address from which metrics are scraped.
    Endpoint metrics;
    /// The platform's object store.
    Endpoint store;
    /// The region of each failure domain.
    std::map<FailureDomainId, RegionId> regions;
    /// Whether all entries of the deployment start now for the first time.
    bool isFirstStart = false;
    GatewayBounds bounds;
    /// Memory of the machine in megabytes; the requests of all clients may hold a part of it.
    std::uint64_t memoryMegabytes = MemoryBudget::DefaultMemoryMegabytes;
    /// Number of file descriptors that the process may open.
    std::uint64_t maxDescriptors = MemoryBudget::DefaultMaxDescriptors;
    std::string logLevel = "INFO";
    /// Maximum number of log lines per second for successful requests.
    double loggedSuccessesPerSecond = 100;

    /// Cores that the entry may use (`capacityCores`); nothing if not stated.
    std::optional<Cores> processorShare;
    /// Rate of the entry's link (`linkMegabits`); nothing if not stated.
    std::optional<Mbps> linkRate;

    /// Returns the capacity that the entry states in its registration: the lesser of its cores and
    /// of the cores that its link corresponds to. Returns nothing if the cores are not stated.
    std::optional<Cores> capacity() const;

    bool operator==(const GatewaySettings &) const = default;
};

/// Parses the text of a settings file. If it has any fault, adds all findings and returns nothing;
/// unknown keys are faults.
std::optional<GatewaySettings> parseGatewaySettings(const std::string &text,
                                                    const std::string &file, Findings &findings);

/// Reads and parses a settings file. A file that cannot be read results in a finding.
std::optional<GatewaySettings> readGatewaySettings(const std::string &file, Findings &findings);

} // namespace Tarragon
