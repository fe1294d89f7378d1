#include "steering/Plan.h"

#include "base/Error.h"

#include <nlohmann/json.hpp>

namespace Tarragon {

namespace {

using Json = nlohmann::json;

Json toJson(const Weights &weights)
{
    Json json = Json::object();
    for (const auto &[service, rows] : weights) {
        Json &serviceJson = json[service.value()] = Json::object();
        for (const auto &[caller, row] : rows) {
            Json &rowJson = serviceJson[caller.value()] = Json::object();
            for (const auto &[region, share] : row) {
                rowJson[region.value()] = share.partsPerMillion;
            }
        }
    }
    return json;
}

[[noreturn]] void fail(const std::string &key, const std::string &found,
                       const std::string &expected)
{
    throw Error("plan: " + key + ": found " + found + ", expected " + expected);
}

std::string joined(const std::string &key, const std::string &name)
{
    std::string result = key;
    result += '.';
    result += name;
    return result;
}

const Json &objectAt(const Json &json, const std::string &key)
{
    if (!json.is_object()) {
        fail(key, json.dump(), "an object");
    }
    return json;
}

std::uint64_t numberAt(const Json &json, const std::string &key)
{
    const auto it = json.find(key);
    if (it == json.end()) {
        fail(key, "nothing", "a number above 0");
    }
    if (!it->is_number_unsigned() || it->get<std::uint64_t>() == 0) {
        fail(key, it->dump(), "a number above 0");
    }
    return it->get<std::uint64_t>();
}

WeightRow parseRow(const Json &json, const std::string &key)
{
    WeightRow row;
    std::int64_t total = 0;
    const std::int64_t whole = Share::whole().partsPerMillion;
    for (const auto &[region, value] : objectAt(json, key).items()) {
        if (!value.is_number_unsigned() || value.get<std::uint64_t>() > std::uint64_t(whole)) {
            fail(joined(key, region), value.dump(), "parts per million");
        }
        row[RegionId(region)].partsPerMillion = value.get<std::int64_t>();
        total += value.get<std::int64_t>();
    }
    if (total > whole) {
        fail(key, "a sum of " + std::to_string(total), "at most " + std::to_string(whole));
    }
    return row;
}

Weights parseWeights(const Json &json, const std::string &key)
{
    Weights weights;
    for (const auto &[service, rows] : objectAt(json, key).items()) {
        const std::string serviceKey = joined(key, service);
        ServiceWeights &serviceWeights = weights[ServiceId(service)];
        for (const auto &[caller, row] : objectAt(rows, serviceKey).items()) {
            serviceWeights[RegionId(caller)] = parseRow(row, joined(serviceKey, caller));
        }
    }
    return weights;
}

void checkWholeRows(const Weights &weights)
{
    for (const auto &[service, rows] : weights) {
        for (const auto &[caller, row] : rows) {
            if (totalOf(row) != Share::whole()) {
                fail("weights." + service.value() + "." + caller.value(),
                     "a sum of " + std::to_string(totalOf(row).partsPerMillion),
                     std::to_string(Share::whole().partsPerMillion));
            }
        }
    }
}

void checkFailoverRows(const RegionId &lost, const Weights &weights)
{
    for (const auto &[service, rows] : weights) {
        for (const auto &[caller, row] : rows) {
            if (row.count(lost) > 0) {
                fail("failover." + lost.value() + "." + service.value() + "." + caller.value(),
                     "the lost region", "other regions only");
            }
        }
    }
}

} // namespace

std::string serializePlan(const Plan &plan)
{
    Json failover = Json::object();
    for (const auto &[lost, weights] : plan.failover) {
        failover[lost.value()] = toJson(weights);
    }
    const Json json = { { "version", plan.version.value() },
                        { "generation", plan.generation.value() },
                        { "maker", plan.maker.value() },
                        { "weights", toJson(plan.weights) },
                        { "failover", failover } };
    return json.dump();
}

Plan parsePlan(const std::string &text)
{
    Json json;
    try {
        json = Json::parse(text);
    } catch (const Json::exception &e) {
        throw Error(std::string("plan: not JSON: ") + e.what());
    }
    objectAt(json, "plan");
    for (const auto &[key, value] : json.items()) {
        if (key != "version" && key != "generation" && key != "maker" && key != "weights"
            && key != "failover") {
            fail(key, "an unknown key", "version, generation, maker, weights or failover");
        }
    }
    Plan plan;
    plan.version = PlanVersion(numberAt(json, "version"));
    plan.generation = Generation(numberAt(json, "generation"));
    const auto maker = json.find("maker");
    if (maker == json.end() || !maker->is_string() || maker->get<std::string>().empty()) {
        fail("maker", maker == json.end() ? "nothing" : maker->dump(), "an instance id");
    }
    plan.maker = InstanceId(maker->get<std::string>());
    plan.weights = parseWeights(json.value("weights", Json()), "weights");
    checkWholeRows(plan.weights);
    const Json failover = json.value("failover", Json());
    for (const auto &[lost, weights] : objectAt(failover, "failover").items()) {
        const RegionId region(lost);
        plan.failover[region] = parseWeights(weights, "failover." + lost);
        checkFailoverRows(region, plan.failover[region]);
    }
    return plan;
}

} // namespace Tarragon
