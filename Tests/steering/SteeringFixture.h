#pragma once

#include "document/Configuration.h"
#include "steering/Weights.h"

#include <string>
#include <vector>

namespace Tarragon::Testing {

/// Returns a document with three regions "a", "b" and "c" of two failure domains each, two entries
/// in each domain, links between all regions, one block 10.<n>.0.0/16 for each region and one
/// service "catalog" without weights. Domains are "a-1", "a-2" and so on, entries "a-1-0", "a-1-1".
inline Configuration threeRegions()
{
    Configuration configuration;
    configuration.generation = Generation(1);
    const std::vector<std::string> names = { "a", "b", "c" };
    std::uint32_t number = 0;
    for (const std::string &name : names) {
        Region region{ RegionId(name), {} };
        for (int d = 1; d <= 2; ++d) {
            FailureDomain domain;
            domain.id = FailureDomainId(name + "-" + std::to_string(d));
            domain.region = region.id;
            for (int seat = 0; seat < 2; ++seat) {
                EntrySeat entry;
                entry.id = InstanceId(domain.id.value() + "-" + std::to_string(seat));
                entry.seat = seat;
                domain.entries.push_back(entry);
            }
            region.domains.push_back(domain.id);
            configuration.topology.domains.emplace(domain.id, domain);
        }
        configuration.topology.clientBlocks.push_back(
                { 10U << 24U | number++ << 16U, 16, region.id });
        configuration.topology.regions.emplace(region.id, region);
        for (const std::string &other : names) {
            if (other != name) {
                configuration.topology.links.push_back(
                        { RegionId(name), RegionId(other), Mbps{ 4'000 }, milliseconds(20) });
            }
        }
    }
    configuration.topology.defaultRegion = RegionId("a");
    ServiceConfiguration service;
    service.id = ServiceId("catalog");
    configuration.services.emplace(service.id, service);
    return configuration;
}

/// Returns a row for the regions "a", "b" and "c" in parts per million; shares of zero are left
/// out.
inline WeightRow row(std::int64_t a, std::int64_t b, std::int64_t c)
{
    WeightRow row = { { RegionId("a"), Share{ a } },
                      { RegionId("b"), Share{ b } },
                      { RegionId("c"), Share{ c } } };
    std::erase_if(row, [](const auto &it) { return it.second.partsPerMillion == 0; });
    return row;
}

/// Returns a cap for each service of the document and each pair of different regions.
inline std::vector<ShiftCap> capsBetweenAll(const Configuration &configuration, Share share,
                                            seconds period)
{
    std::vector<ShiftCap> caps;
    for (const auto &[service, settings] : configuration.services) {
        for (const auto &[from, fromRegion] : configuration.topology.regions) {
            for (const auto &[to, toRegion] : configuration.topology.regions) {
                if (from != to) {
                    caps.push_back({ service, from, to, share, period, {} });
                }
            }
        }
    }
    return caps;
}

} // namespace Tarragon::Testing
