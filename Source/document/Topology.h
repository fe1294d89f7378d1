#pragma once

#include "base/Ids.h"
#include "base/Units.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace Tarragon {

/// An IPv4 address and port.
struct Endpoint
{
    std::string address;
    std::uint16_t port = 0;
    friend auto operator<=>(const Endpoint &, const Endpoint &) = default;
};

/// Returns the endpoint as "address:port".
std::string toString(const Endpoint &endpoint);

/// An entry instance of a failure domain, as listed in the document.
struct EntrySeat
{
    InstanceId id;
    /// Ordinal among the entries of the failure domain, counted from 0. Determines the entry's
    /// static share of slots.
    int seat = 0;
    /// Endpoint for HTTP requests of callers and other entries.
    Endpoint http;
    /// Endpoint for RPC calls of other entries.
    Endpoint rpc;
};

/// A failure domain of a region.
struct FailureDomain
{
    FailureDomainId id;
    RegionId region;
    std::vector<EntrySeat> entries;
};

/// A region of the deployment.
struct Region
{
    RegionId id;
    std::vector<FailureDomainId> domains;
};

/// A directed link between two regions.
struct RegionLink
{
    RegionId from;
    RegionId to;
    Mbps capacity;
    milliseconds oneWayDelay{ 0 };
};

/// A block of client addresses and the region of the callers in the block.
struct ClientBlock
{
    /// First address, in host byte order.
    std::uint32_t network = 0;
    /// Length of the prefix in bits, 0 to 32.
    int prefixLength = 0;
    RegionId region;
};

/// The "topology" section.
struct Topology
{
    std::map<RegionId, Region> regions;
    std::map<FailureDomainId, FailureDomain> domains;
    std::vector<RegionLink> links;
    std::vector<ClientBlock> clientBlocks;
    /// Region of callers whose address is in no block.
    RegionId defaultRegion;
    /// Region that hosts the platform's store.
    RegionId storeRegion;
    milliseconds delayBetweenDomains{ 0 };
    milliseconds delayToClients{ 0 };

    /// Returns the link between two regions; null if there is none.
    const RegionLink *findLink(const RegionId &from, const RegionId &to) const;
};

} // namespace Tarragon
