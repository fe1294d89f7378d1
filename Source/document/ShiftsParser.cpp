#include "document/ShiftsParser.h"

#include "document/MappingReader.h"
#include "document/ValueFormats.h"

#include <algorithm>

namespace Tarragon {

namespace {

// A cap of 0% would prevent every step of a shift while the planner keeps retrying.
constexpr Share MinSharePerPeriod{ 1 };
constexpr seconds MaxPeriod{ 24 * 3600 };

bool readRegion(MappingReader &reader, const std::string &key, RegionId &out,
                const Topology *topology)
{
    if (!reader.require(key, out, IdFormat<RegionId>())) {
        return false;
    }
    if (topology && !topology->regions.contains(out)) {
        reader.find(key)->report("a region of the topology");
        return false;
    }
    return true;
}

/// Checks the cap against the topology. Reports a finding if the regions have no link, or if the
/// cap's data rate exceeds the link's capacity.
void checkLink(const YamlValue &value, const ShiftCap &cap, const Topology &topology)
{
    const std::string pair = "from " + cap.from.value() + " to " + cap.to.value();
    if (cap.from == cap.to) {
        value.context().report(value.line(), value.key(), "a cap " + pair, "two different regions");
        return;
    }
    const RegionLink *link = topology.findLink(cap.from, cap.to);
    if (!link) {
        value.context().report(value.line(), value.key(), "a cap " + pair,
                               "two regions with a link of the topology");
    } else if (cap.linkRate > link->capacity && link->capacity > Mbps()) {
        value.context().report(value.line(), joinKey(value.key(), "linkRate"),
                               "more than the link " + pair + " carries",
                               "at most the link's capacity");
    }
}

} // namespace

std::vector<ShiftCap> parseShifts(const YamlValue &value, const std::set<ServiceId> &services,
                                  const Topology *topology)
{
    std::vector<ShiftCap> caps;
    if (value.isNull()) {
        return caps;
    }
    for (const YamlValue &it : value.items("a list of caps")) {
        ShiftCap cap;
        MappingReader reader(it);
        bool isReadable = reader.require("service", cap.service, IdFormat<ServiceId>{ false });
        if (isReadable && !services.contains(cap.service)) {
            reader.find("service")->report("a service with a section");
            isReadable = false;
        }
        isReadable = readRegion(reader, "from", cap.from, topology) && isReadable;
        isReadable = readRegion(reader, "to", cap.to, topology) && isReadable;
        reader.require("share", cap.sharePerPeriod, ShareFormat{ MinSharePerPeriod });
        reader.require("period", cap.period, SecondsFormat{ seconds(1), MaxPeriod });
        reader.require("linkRate", cap.linkRate, RateFormat());
        reader.finish();
        if (!isReadable) {
            continue;
        }
        if (topology) {
            checkLink(it, cap, *topology);
        }
        if (std::any_of(caps.begin(), caps.end(), [&](const ShiftCap &other) {
                return other.service == cap.service && other.from == cap.from && other.to == cap.to;
            })) {
            it.context().report(it.line(), it.key(),
                                "a second cap for " + cap.service.value() + " from "
                                        + cap.from.value() + " to " + cap.to.value(),
                                "one cap for each service and pair of regions");
        }
        caps.push_back(cap);
    }
    return caps;
}

} // namespace Tarragon
