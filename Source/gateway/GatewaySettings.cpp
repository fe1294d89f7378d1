#include "gateway/GatewaySettings.h"

#include "base/Error.h"
#include "document/MappingReader.h"
#include "document/TextFile.h"
#include "document/ValueFormats.h"

#include <algorithm>
#include <cmath>

namespace Tarragon {

namespace {

constexpr double MillisecondsPerSecond = 1'000;
/// Maximum value of a setting in seconds.
constexpr double MaxSeconds = 3'600;
constexpr double MaxRetries = 1e6;
constexpr double MaxLinesPerSecond = 1e6;
/// One terabyte, above any machine.
constexpr double MaxMegabytes = 1e6;
/// Above the maximum that systems permit.
constexpr double MaxDescriptors = 1e9;
/// Below, a process could not open its own files and listeners.
constexpr double MinLimit = 16;
constexpr double MaxCapacityCores = 1'024;
constexpr double MaxLinkMegabits = 1e6;
/// Link rate that carries as many requests as one core processes. Machines with half a core have
/// links of 200 Mbit/s.
constexpr Mbps LinkPerCore{ 400 };

void readRegions(MappingReader &reader, std::map<FailureDomainId, RegionId> &regions)
{
    const std::optional<YamlValue> value =
            reader.require("failureDomains", "a mapping of failure domains to regions");
    if (!value.has_value()) {
        return;
    }
    const MappingReader domains(*value);
    for (const auto &[domain, region] : domains.entries()) {
        if (const std::optional<RegionId> id = region.read(IdFormat<RegionId>{})) {
            regions.emplace(FailureDomainId(domain), *id);
        }
    }
}

milliseconds readSeconds(MappingReader &reader, const std::string &key, milliseconds fallback)
{
    double value = static_cast<double>(fallback.count()) / MillisecondsPerSecond;
    reader.optional(key, value, NumberFormat{ 0, MaxSeconds });
    return milliseconds(std::llround(value * MillisecondsPerSecond));
}

/// Reads a limit of the machine; fractions are rounded down.
void readLimit(MappingReader &reader, const std::string &key, double max, std::uint64_t &limit)
{
    double value = static_cast<double>(limit);
    reader.optional(key, value, NumberFormat{ MinLimit, max });
    limit = static_cast<std::uint64_t>(value);
}

void readBounds(MappingReader &reader, GatewayBounds &bounds)
{
    const std::optional<YamlValue> value = reader.find("bounds");
    if (!value.has_value()) {
        return;
    }
    MappingReader fields(*value);
    fields.optional("retryShare", bounds.retryShare, NumberFormat{ 0, 1 });
    fields.optional("extraRetries", bounds.extraRetries, NumberFormat{ 0, MaxRetries });
    bounds.stopGrace = readSeconds(fields, "stopGraceSeconds", bounds.stopGrace);
    bounds.maxLookupTtl = readSeconds(fields, "lookupTtlSeconds", bounds.maxLookupTtl);
    bounds.drainTime = readSeconds(fields, "drainSeconds", bounds.drainTime);
    fields.finish();
}

void readLog(MappingReader &reader, GatewaySettings &settings)
{
    const std::optional<YamlValue> value = reader.find("log");
    if (!value.has_value()) {
        return;
    }
    MappingReader log(*value);
    log.optional("level", settings.logLevel,
                 ChoiceFormat<std::string>{ { { "TRACE", "TRACE" },
                                              { "DEBUG", "DEBUG" },
                                              { "INFO", "INFO" },
                                              { "WARN", "WARN" },
                                              { "ERROR", "ERROR" } } });
    log.optional("successesPerSecond", settings.loggedSuccessesPerSecond,
                 NumberFormat{ 0, MaxLinesPerSecond });
    log.finish();
}

/// A number that the platform may leave empty or state as 0 if there is no limit.
struct StatedLimitFormat
{
    NumberFormat number;
    std::optional<std::optional<double>> operator()(const std::string &text) const
    {
        const std::optional<double> value = text.empty() ? std::optional(0.0) : number(text);
        if (!value.has_value()) {
            return std::nullopt;
        }
        return std::optional(*value > 0 ? value : std::nullopt);
    }
    std::string expected() const { return number.expected(); }
};

void readCapacity(MappingReader &reader, GatewaySettings &settings)
{
    std::optional<double> cores;
    reader.optional("capacityCores", cores, StatedLimitFormat{ { 0, MaxCapacityCores } });
    if (cores.has_value()) {
        settings.processorShare = Cores{ *cores };
    }
    std::optional<double> rate;
    reader.optional("linkMegabits", rate, StatedLimitFormat{ { 0, MaxLinkMegabits } });
    if (rate.has_value()) {
        settings.linkRate = Mbps{ *rate };
    }
}

void readAll(MappingReader &reader, GatewaySettings &settings)
{
    reader.require("instance", settings.instance, IdFormat<InstanceId>{});
    reader.require("failureDomain", settings.domain, IdFormat<FailureDomainId>{});
    reader.require("region", settings.region, IdFormat<RegionId>{});
    reader.require("front", settings.front, EndpointFormat{});
    reader.require("readiness", settings.readiness, EndpointFormat{});
    reader.require("lookup", settings.lookup, EndpointFormat{});
    reader.require("rpc", settings.rpc, EndpointFormat{});
    reader.require("metrics", settings.metrics, EndpointFormat{});
    reader.require("store", settings.store, EndpointFormat{});
    readRegions(reader, settings.regions);
    reader.optional("firstStart", settings.isFirstStart,
                    ChoiceFormat<bool>{ { { "true", true }, { "false", false } } });
    readCapacity(reader, settings);
    readBounds(reader, settings.bounds);
    readLimit(reader, "memoryMegabytes", MaxMegabytes, settings.memoryMegabytes);
    readLimit(reader, "maxDescriptors", MaxDescriptors, settings.maxDescriptors);
    readLog(reader, settings);
    reader.finish();
}

} // namespace

std::optional<Cores> GatewaySettings::capacity() const
{
    if (!processorShare.has_value() || !linkRate.has_value()) {
        return processorShare;
    }
    return std::min(*processorShare, Cores{ linkRate->value / LinkPerCore.value });
}

std::optional<GatewaySettings> parseGatewaySettings(const std::string &text,
                                                    const std::string &file, Findings &findings)
{
    Findings found;
    const FindingContext context{ "", &found };
    GatewaySettings settings;
    if (const std::optional<YamlValue> value = loadYaml(text, context)) {
        MappingReader reader(*value);
        readAll(reader, settings);
    }
    for (Finding &it : found) {
        it.file = file;
        findings.push_back(it);
    }
    if (!found.empty()) {
        return std::nullopt;
    }
    return settings;
}

std::optional<GatewaySettings> readGatewaySettings(const std::string &file, Findings &findings)
{
    try {
        return parseGatewaySettings(readTextFile(file), file, findings);
    } catch (const Error &error) {
        findings.push_back(Finding{ file, "", 0, "", error.what(), "a readable settings file" });
        return std::nullopt;
    }
}

} // namespace Tarragon
