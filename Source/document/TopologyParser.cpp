#include "document/TopologyParser.h"

#include "document/MappingReader.h"
#include "document/ValueFormats.h"

#include <algorithm>
#include <utility>

namespace Tarragon {

namespace {

// The seat determines an entry's static share of slots. Seat numbers may have gaps: if the
// remaining entries were renumbered after one is removed, two of them would use the same slots
// until all have the new generation.
constexpr int MaxSeat = 63;
constexpr milliseconds MaxDelay{ 10'000 };

constexpr const char *ExpectedRegion = "a region of the topology";

/// Parses one "topology" section. Records the full key of each instance id, endpoint and address
/// block to report duplicates, as these must be unique over all failure domains.
class TopologyReader
{
public:
    Topology read(const YamlValue &value);

private:
    void readRegion(const RegionId &id, const YamlValue &value);
    void readDomain(const FailureDomainId &id, const RegionId &region, const YamlValue &value);
    void readEntry(FailureDomain &domain, const YamlValue &value);
    void readEndpoint(MappingReader &reader, const std::string &key, Endpoint &out);
    void readLink(const YamlValue &value);
    void readClientBlocks(const YamlValue &value);
    void readKnownRegion(MappingReader &reader, const std::string &key, RegionId &out);

    Topology m_topology;
    std::map<InstanceId, std::string> m_instanceKeys;
    std::map<Endpoint, std::string> m_endpointKeys;
    std::map<std::pair<std::uint32_t, int>, std::string> m_blockKeys;
};

Topology TopologyReader::read(const YamlValue &value)
{
    MappingReader reader(value);
    if (const std::optional<YamlValue> regions = reader.require("regions", "a mapping")) {
        MappingReader regionsReader(*regions);
        for (const auto &[name, it] : regionsReader.entries()) {
            const IdFormat<RegionId> format;
            const std::optional<RegionId> id = format(name);
            if (!id) {
                it.context().report(it.line(), it.key(), quotedText(name), format.expected());
                continue;
            }
            readRegion(*id, it);
        }
        if (regionsReader.isMapping() && regionsReader.entries().empty()) {
            regions->report("at least one region");
        }
    }
    readKnownRegion(reader, "defaultRegion", m_topology.defaultRegion);
    readKnownRegion(reader, "storeRegion", m_topology.storeRegion);
    if (const std::optional<YamlValue> delays = reader.require("delays", "a mapping")) {
        const DurationFormat format{ milliseconds(0), MaxDelay };
        MappingReader delaysReader(*delays);
        delaysReader.require("betweenDomains", m_topology.delayBetweenDomains, format);
        delaysReader.require("toClients", m_topology.delayToClients, format);
        delaysReader.finish();
    }
    if (const std::optional<YamlValue> links = reader.require("links", "a list of links")) {
        for (const YamlValue &it : links->items("a list of links")) {
            readLink(it);
        }
    }
    if (const std::optional<YamlValue> blocks = reader.require("clientBlocks", "a mapping")) {
        readClientBlocks(*blocks);
    }
    reader.finish();
    return std::move(m_topology);
}

void TopologyReader::readRegion(const RegionId &id, const YamlValue &value)
{
    m_topology.regions[id].id = id;
    MappingReader reader(value);
    const std::optional<YamlValue> domains = reader.require("domains", "a mapping");
    reader.finish();
    if (!domains) {
        return;
    }
    MappingReader domainsReader(*domains);
    for (const auto &[name, it] : domainsReader.entries()) {
        const IdFormat<FailureDomainId> format;
        const std::optional<FailureDomainId> domain = format(name);
        if (!domain) {
            it.context().report(it.line(), it.key(), quotedText(name), format.expected());
            continue;
        }
        readDomain(*domain, id, it);
    }
    if (domainsReader.isMapping() && domainsReader.entries().empty()) {
        domains->report("at least one failure domain");
    }
}

void TopologyReader::readDomain(const FailureDomainId &id, const RegionId &region,
                                const YamlValue &value)
{
    const auto [position, isNew] = m_topology.domains.try_emplace(id);
    if (!isNew) {
        value.context().report(value.line(), value.key(), quotedText(id.value()),
                               "a failure domain that no other region names; "
                                       + position->second.region.value() + " does");
        return;
    }
    FailureDomain &domain = position->second;
    domain.id = id;
    domain.region = region;
    m_topology.regions[region].domains.push_back(id);
    MappingReader reader(value);
    if (const std::optional<YamlValue> entries = reader.require("entries", "a list of entries")) {
        for (const YamlValue &it : entries->items("a list of entries")) {
            readEntry(domain, it);
        }
        if (entries->node().IsSequence() && entries->node().size() == 0) {
            entries->report("at least one entry");
        }
    }
    reader.finish();
}

void TopologyReader::readEntry(FailureDomain &domain, const YamlValue &value)
{
    EntrySeat entry;
    MappingReader reader(value);
    if (reader.require("id", entry.id, IdFormat<InstanceId>())) {
        const auto [position, isNew] = m_instanceKeys.emplace(entry.id, value.key());
        if (!isNew) {
            reader.find("id")->report("an entry id used once; " + position->second + " has it too");
        }
    }
    if (reader.require("seat", entry.seat, IntegerFormat{ 0, MaxSeat })
        && std::any_of(domain.entries.begin(), domain.entries.end(),
                       [&](const EntrySeat &other) { return other.seat == entry.seat; })) {
        reader.find("seat")->report("a seat used once in the failure domain");
    }
    readEndpoint(reader, "http", entry.http);
    readEndpoint(reader, "rpc", entry.rpc);
    reader.finish();
    if (!entry.id.isEmpty()) {
        domain.entries.push_back(entry);
    }
}

void TopologyReader::readEndpoint(MappingReader &reader, const std::string &key, Endpoint &out)
{
    if (!reader.require(key, out, EndpointFormat())) {
        return;
    }
    const YamlValue value = *reader.find(key);
    const auto [position, isNew] = m_endpointKeys.emplace(out, value.key());
    if (!isNew) {
        value.report("an address and port used once; " + position->second + " has it too");
    }
}

void TopologyReader::readLink(const YamlValue &value)
{
    RegionLink link;
    MappingReader reader(value);
    readKnownRegion(reader, "from", link.from);
    readKnownRegion(reader, "to", link.to);
    reader.require("capacity", link.capacity, RateFormat());
    reader.require("delay", link.oneWayDelay, DurationFormat{ milliseconds(0), MaxDelay });
    reader.finish();
    if (link.from.isEmpty() || link.to.isEmpty()) {
        return;
    }
    const std::string pair = "from " + link.from.value() + " to " + link.to.value();
    if (link.from == link.to) {
        value.context().report(value.line(), value.key(), "a link " + pair,
                               "two different regions");
    } else if (m_topology.findLink(link.from, link.to)) {
        value.context().report(value.line(), value.key(), "a second link " + pair,
                               "one link for each pair and direction");
    } else {
        m_topology.links.push_back(link);
    }
}

void TopologyReader::readClientBlocks(const YamlValue &value)
{
    MappingReader reader(value);
    for (const auto &[name, list] : reader.entries()) {
        const RegionId region(name);
        if (!m_topology.regions.contains(region)) {
            list.context().report(list.line(), list.key(), quotedText(name), ExpectedRegion);
        }
        for (const YamlValue &it : list.items("a list of address blocks")) {
            std::optional<ClientBlock> block = it.read(ClientBlockFormat());
            if (!block) {
                continue;
            }
            const auto [position, isNew] =
                    m_blockKeys.emplace(std::pair(block->network, block->prefixLength), it.key());
            if (!isNew) {
                it.report("a block used once; " + position->second + " has it too");
                continue;
            }
            block->region = region;
            m_topology.clientBlocks.push_back(*block);
        }
    }
}

void TopologyReader::readKnownRegion(MappingReader &reader, const std::string &key, RegionId &out)
{
    RegionId id;
    if (!reader.require(key, id, IdFormat<RegionId>())) {
        return;
    }
    if (m_topology.regions.contains(id)) {
        out = id;
    } else {
        reader.find(key)->report(ExpectedRegion);
    }
}

} // namespace

Topology parseTopology(const YamlValue &value)
{
    return TopologyReader().read(value);
}

} // namespace Tarragon
