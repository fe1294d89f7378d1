#include "document/ServiceParser.h"

#include "document/MappingReader.h"
#include "document/ValueFormats.h"

#include <algorithm>
#include <set>
#include <utility>

namespace Tarragon {

namespace {

constexpr milliseconds MaxConnectTimeout{ 10'000 };
constexpr milliseconds MaxRequestTimeout{ 600'000 };
// A planner waits for this time to live between two steps of a plan, until callers have dropped old
// lookup results, so a long one delays every shift.
constexpr milliseconds MinLookupTtl{ 100 };
constexpr milliseconds MaxLookupTtl{ 60'000 };
constexpr int MaxQueuePerTarget = 1'000;
constexpr int MaxConnectionsPerTarget = 100'000;
constexpr double MaxPeakFactor = 1'000;
constexpr std::size_t MaxTimeZoneLength = 64;

/// Parses one service's section.
class ServiceReader
{
public:
    ServiceReader(const ServiceId &id, ServiceContext &context)
        : m_context(context)
    {
        m_service.id = id;
    }

    ServiceConfiguration read(const YamlValue &value);

private:
    void readTarget(const YamlValue &value);
    void readRequests(const YamlValue &value);
    void readWeights(const YamlValue &value);
    void readWeightsOfRegion(const RegionId &callers, const YamlValue &value);
    void readPeak(const YamlValue &value);
    bool hasTargetIn(const RegionId &region) const;

    ServiceContext &m_context;
    ServiceConfiguration m_service;
};

ServiceConfiguration ServiceReader::read(const YamlValue &value)
{
    MappingReader reader(value);
    if (const std::optional<YamlValue> targets = reader.require("targets", "a list of targets")) {
        for (const YamlValue &it : targets->items("a list of targets")) {
            readTarget(it);
        }
        if (targets->node().IsSequence() && targets->node().size() == 0) {
            targets->report("at least one target");
        }
    }
    reader.require("connectionsPerTarget", m_service.connectionsPerTarget,
                   IntegerFormat{ 1, MaxConnectionsPerTarget });
    reader.optional("queuePerTarget", m_service.queuePerTarget,
                    IntegerFormat{ 0, MaxQueuePerTarget });
    reader.optional("connectTimeout", m_service.connectTimeout,
                    DurationFormat{ milliseconds(1), MaxConnectTimeout });
    reader.optional("requestTimeout", m_service.requestTimeout,
                    DurationFormat{ milliseconds(1), MaxRequestTimeout });
    reader.optional("lookupTtl", m_service.lookupTtl, DurationFormat{ MinLookupTtl, MaxLookupTtl });
    reader.optional("retryShare", m_service.retryShare, ShareFormat());
    reader.optional("healthPath", m_service.healthPath, PathFormat());
    reader.optional("loadPath", m_service.loadPath, PathFormat());
    if (const std::optional<YamlValue> requests = reader.require("requests", "a list of rules")) {
        readRequests(*requests);
    }
    if (const std::optional<YamlValue> weights = reader.find("weights")) {
        readWeights(*weights);
    }
    if (const std::optional<YamlValue> peaks = reader.find("peaks")) {
        for (const YamlValue &it : peaks->items("a list of daily peaks")) {
            readPeak(it);
        }
    }
    reader.finish();
    return std::move(m_service);
}

void ServiceReader::readTarget(const YamlValue &value)
{
    Target target;
    MappingReader reader(value);
    if (reader.require("id", target.id, IdFormat<TargetId>())) {
        const auto [position, isNew] =
                m_context.targetSections.emplace(target.id, value.context().section);
        if (!isNew) {
            reader.find("id")->report("a target id used once; section " + position->second
                                      + " has it too");
        }
    }
    if (reader.require("domain", target.domain, IdFormat<FailureDomainId>()) && m_context.topology
        && !m_context.topology->domains.contains(target.domain)) {
        reader.find("domain")->report("a failure domain of the topology");
    }
    if (reader.require("address", target.http, EndpointFormat())) {
        const auto [position, isNew] = m_context.endpointUsers.emplace(
                target.http, value.context().section + " " + value.key());
        if (!isNew) {
            reader.find("address")->report("an address and port used once; " + position->second
                                           + " has it too");
        }
    }
    reader.require("slots", target.slots, SlotCountFormat());
    reader.finish();
    if (!target.id.isEmpty()) {
        m_service.targets.push_back(target);
    }
}

void ServiceReader::readRequests(const YamlValue &value)
{
    const ChoiceFormat<std::string> methodFormat{ { { "*", "*" },
                                                    { "GET", "GET" },
                                                    { "HEAD", "HEAD" },
                                                    { "POST", "POST" },
                                                    { "PUT", "PUT" },
                                                    { "PATCH", "PATCH" },
                                                    { "DELETE", "DELETE" },
                                                    { "OPTIONS", "OPTIONS" } } };
    const ChoiceFormat<RequestClass> classFormat{ { { "lookup", RequestClass::Lookup },
                                                    { "booking", RequestClass::Booking },
                                                    { "bulk", RequestClass::Bulk } } };
    std::set<std::pair<std::string, std::string>> seen;
    for (const YamlValue &it : value.items("a list of rules")) {
        RequestRule rule;
        MappingReader reader(it);
        const bool hasMethod = reader.require("method", rule.method, methodFormat);
        const bool hasPath = reader.require("path", rule.pathPrefix, PathFormat());
        reader.require("class", rule.requestClass, classFormat);
        reader.require("idempotent", rule.idempotent, BoolFormat());
        reader.finish();
        if (hasMethod && hasPath && !seen.emplace(rule.method, rule.pathPrefix).second) {
            it.context().report(it.line(), it.key(),
                                "a second rule for " + rule.method + " " + rule.pathPrefix,
                                "each method and path once, as the first rule decides");
        }
        m_service.rules.push_back(rule);
    }
    if (!value.node().IsSequence()) {
        return;
    }
    // A last rule for every request ensures that the document, not a built-in default, decides the
    // class of each request.
    if (m_service.rules.empty() || m_service.rules.back().method != "*"
        || m_service.rules.back().pathPrefix != "/") {
        value.context().report(value.line(), value.key(), "no last rule for every request",
                               "a last rule with method \"*\" and path /");
    }
}

void ServiceReader::readWeights(const YamlValue &value)
{
    MappingReader reader(value);
    for (const auto &[name, it] : reader.entries()) {
        const RegionId callers(name);
        if (m_context.topology && !m_context.topology->regions.contains(callers)) {
            it.context().report(it.line(), it.key(), quotedText(name), "a region of the topology");
        }
        readWeightsOfRegion(callers, it);
    }
}

void ServiceReader::readWeightsOfRegion(const RegionId &callers, const YamlValue &value)
{
    MappingReader reader(value);
    Share sum;
    bool isComplete = reader.isMapping();
    for (const auto &[name, it] : reader.entries()) {
        const std::optional<Share> share = it.read(ShareFormat());
        if (!share) {
            isComplete = false;
            continue;
        }
        const RegionId region(name);
        sum.partsPerMillion += share->partsPerMillion;
        m_service.weights[callers][region] = *share;
        const Topology *topology = m_context.topology;
        if (!topology) {
            continue;
        }
        if (!topology->regions.contains(region)) {
            it.context().report(it.line(), it.key(), quotedText(name), "a region of the topology");
        } else if (*share > Share() && !hasTargetIn(region)) {
            it.report("0%, as the service has no target in " + name);
        } else if (*share > Share() && region != callers && topology->regions.contains(callers)
                   && !topology->findLink(callers, region)) {
            it.report("0%, as the topology has no link from " + callers.value() + " to " + name);
        }
    }
    if (isComplete && sum != Share::whole()) {
        static constexpr std::int64_t PartsPerPercent = 10'000;
        std::string decimals = std::to_string(sum.partsPerMillion % PartsPerPercent);
        decimals.insert(0, 4 - decimals.size(), '0');
        value.context().report(value.line(), value.key(),
                               "shares with the sum "
                                       + std::to_string(sum.partsPerMillion / PartsPerPercent) + "."
                                       + decimals + "%",
                               "the sum 100%");
    }
}

void ServiceReader::readPeak(const YamlValue &value)
{
    DailyPeak peak;
    MappingReader reader(value);
    reader.require("timeZone", peak.timeZone, TextFormat{ 1, MaxTimeZoneLength });
    const bool hasStart = reader.require("start", peak.start, TimeOfDayFormat());
    const bool hasEnd = reader.require("end", peak.end, TimeOfDayFormat());
    reader.require("factor", peak.factor, NumberFormat{ 1, MaxPeakFactor });
    reader.finish();
    if (hasStart && hasEnd && peak.start == peak.end) {
        reader.find("end")->report(
                "a time other than the start; an earlier one is on the next day");
    }
    m_service.peaks.push_back(peak);
}

bool ServiceReader::hasTargetIn(const RegionId &region) const
{
    return std::any_of(
            m_service.targets.begin(), m_service.targets.end(), [&](const Target &target) {
                const auto it = m_context.topology->domains.find(target.domain);
                return it != m_context.topology->domains.end() && it->second.region == region;
            });
}

} // namespace

ServiceConfiguration parseService(const YamlValue &value, const ServiceId &id,
                                  ServiceContext &context)
{
    return ServiceReader(id, context).read(value);
}

} // namespace Tarragon
