#include "model/LoadPlan.h"

#include "document/MappingReader.h"
#include "document/ValueFormats.h"

#include <algorithm>

namespace Tarragon {

namespace {

constexpr milliseconds MaxTime{ 3'600'000 };
constexpr double MaxPerSecond = 100'000;
constexpr int MaxCount = 1'000'000;
constexpr int MaxEntries = 1'000;
constexpr int MaxTargets = 10'000;
constexpr int MaxAttempts = 10;
constexpr int MaxPriority = 100;
constexpr double MaxFactor = 1'000;

const DurationFormat AnyDuration{ milliseconds(0), MaxTime };
const DurationFormat PositiveDuration{ milliseconds(1), MaxTime };
const NumberFormat Fraction{ 0, 1 };

/// Calls readItem for each item of a key whose value is a sequence of mappings.
template<typename ReadItem>
void readItems(MappingReader &reader, const std::string &key, bool isRequired, ReadItem readItem)
{
    const std::string expected = "a sequence of mappings";
    const std::optional<YamlValue> value =
            isRequired ? reader.require(key, expected) : reader.find(key);
    if (!value.has_value()) {
        return;
    }
    for (const YamlValue &it : value->items(expected)) {
        MappingReader item(it);
        readItem(item, it);
        item.finish();
    }
}

void readDelays(MappingReader &reader, ModelDelays &delays)
{
    const std::optional<YamlValue> value = reader.find("delays");
    if (!value.has_value()) {
        return;
    }
    MappingReader fields(*value);
    fields.optional("caller", delays.caller, AnyDuration);
    fields.optional("withinDomain", delays.withinDomain, AnyDuration);
    fields.optional("betweenDomains", delays.betweenDomains, AnyDuration);
    fields.optional("betweenRegions", delays.betweenRegions, AnyDuration);
    fields.finish();
}

void readDomains(MappingReader &reader, LoadPlan &plan)
{
    readItems(reader, "failureDomains", true, [&plan](MappingReader &item, const YamlValue &) {
        ModelDomain domain;
        item.require("name", domain.id, IdFormat<FailureDomainId>{});
        item.require("region", domain.region, IdFormat<RegionId>{});
        item.optional("entries", domain.entries, IntegerFormat{ 1, MaxEntries });
        plan.domains.push_back(domain);
    });
}

void readTargets(MappingReader &item, const LoadPlan &plan, ModelService &service)
{
    const std::optional<YamlValue> value =
            item.require("targets", "a mapping of failure domains to numbers of targets");
    if (!value.has_value()) {
        return;
    }
    const MappingReader targets(*value);
    for (const auto &[name, number] : targets.entries()) {
        const FailureDomainId domain(name);
        if (plan.findDomain(domain) == nullptr) {
            number.report("targets in a failure domain that is defined, not in \"" + name + "\"");
        } else if (const std::optional<int> count = number.read(IntegerFormat{ 0, MaxTargets })) {
            service.targets[domain] = *count;
        }
    }
}

void readServices(MappingReader &reader, LoadPlan &plan)
{
    readItems(reader, "services", true, [&plan](MappingReader &item, const YamlValue &) {
        ModelService service;
        item.require("name", service.id, IdFormat<ServiceId>{});
        readTargets(item, plan, service);
        item.require("slots", service.slots, SlotCountFormat{});
        item.optional("queue", service.queue, IntegerFormat{ 0, MaxCount });
        item.optional("remembered", service.remembered, IntegerFormat{ 0, MaxCount });
        item.optional("knownWork", service.knownWork, Fraction);
        plan.services[service.id] = service;
    });
}

/// Reads the name of a service and reports a finding if the plan does not define this service.
void readService(MappingReader &item, bool isRequired, const LoadPlan &plan, ServiceId &service)
{
    const std::optional<YamlValue> value =
            isRequired ? item.require("service", "the name of a service") : item.find("service");
    if (!value.has_value()) {
        return;
    }
    const std::optional<ServiceId> id = value->read(IdFormat<ServiceId>{});
    if (id.has_value() && !plan.services.contains(*id)) {
        value->report("a service that is defined");
    }
    service = id.value_or(ServiceId());
}

void readRoutes(MappingReader &reader, LoadPlan &plan)
{
    readItems(reader, "routes", true, [&plan](MappingReader &item, const YamlValue &) {
        ModelRoute route;
        item.require("name", route.name, IdFormat<RouteName>{});
        readService(item, true, plan, route.service);
        item.require("perSecond", route.perSecond, NumberFormat{ 0, MaxPerSecond });
        item.require("work", route.work, PositiveDuration);
        item.require("goal", route.goal, PositiveDuration);
        item.require("deadline", route.deadline, PositiveDuration);
        item.optional("objects", route.objects, IntegerFormat{ 0, MaxCount });
        item.optional("returns", route.returns, IntegerFormat{ 0, MaxAttempts });
        item.optional("repeatable", route.isRepeatable, BoolFormat{});
        item.optional("maxAttempts", route.maxAttempts, IntegerFormat{ 1, MaxAttempts });
        item.optional("priority", route.priority, IntegerFormat{ 0, MaxPriority });
        plan.routes.push_back(route);
    });
}

void readFaults(MappingReader &reader, LoadPlan &plan)
{
    const ChoiceFormat<FaultKind> kinds{ { { "burst", FaultKind::Burst },
                                           { "forget", FaultKind::Forget },
                                           { "down", FaultKind::Down },
                                           { "silent", FaultKind::Unresponsive },
                                           { "slow", FaultKind::Slow },
                                           { "shed", FaultKind::Shed },
                                           { "restart", FaultKind::Restart } } };
    readItems(reader, "troubles", false, [&](MappingReader &item, const YamlValue &) {
        InjectedFault fault;
        item.require("kind", fault.kind, kinds);
        item.require("at", fault.at, AnyDuration);
        item.optional("duration", fault.duration, AnyDuration);
        readService(item, false, plan, fault.service);
        item.optional("share", fault.share, Fraction);
        item.optional("factor", fault.factor, NumberFormat{ 0, MaxFactor });
        plan.faults.push_back(fault);
    });
}

} // namespace

const ModelDomain *LoadPlan::findDomain(const FailureDomainId &id) const
{
    const auto it = std::find_if(domains.begin(), domains.end(),
                                 [&id](const ModelDomain &domain) { return domain.id == id; });
    return it == domains.end() ? nullptr : &*it;
}

std::optional<LoadPlan> parseLoadPlan(const std::string &text, const std::string &file,
                                      Findings &findings)
{
    Findings found;
    const FindingContext context{ "", &found };
    LoadPlan plan;
    if (const std::optional<YamlValue> value = loadYaml(text, context)) {
        MappingReader reader(*value);
        reader.require("name", plan.name, TextFormat{ 1, MaxIdLength });
        reader.optional("duration", plan.duration, PositiveDuration);
        reader.optional("registryLag", plan.registryLag, AnyDuration);
        readDelays(reader, plan.delays);
        readDomains(reader, plan);
        readServices(reader, plan);
        readRoutes(reader, plan);
        readFaults(reader, plan);
        reader.finish();
    }
    for (Finding &it : found) {
        it.file = file;
        findings.push_back(it);
    }
    if (!found.empty()) {
        return std::nullopt;
    }
    return plan;
}

} // namespace Tarragon
