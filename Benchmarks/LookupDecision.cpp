// Measures the time of a lookup decision and of building the client block index, by the number of
// client blocks and sites, and the memory of the index and of the lookup tables. A site is a caller
// region; 37 of the regions have entries, in 104 failure domains.

#include "steering/LookupDecider.h"

#include <benchmark/benchmark.h>

#include <algorithm>
#include <random>
#include <string>
#include <tuple>

namespace Tarragon {
namespace {

constexpr int ServingRegions = 37;
constexpr int FailureDomains = 104;
constexpr int EntriesPerDomain = 23;
constexpr int RegionsPerRow = 3;
constexpr std::size_t CallerCount = 1U << 16U;

const ServiceId catalog("catalog");

RegionId siteId(std::size_t number)
{
    return RegionId("site-" + std::to_string(number));
}

ConfigurationPtr makeConfiguration(std::size_t sites)
{
    Configuration configuration;
    for (std::size_t i = 0; i < sites; ++i) {
        configuration.topology.regions.emplace(siteId(i), Region{ siteId(i), {} });
    }
    for (int i = 0; i < FailureDomains; ++i) {
        FailureDomain domain;
        domain.id = FailureDomainId("domain-" + std::to_string(i));
        domain.region = siteId(std::size_t(i % ServingRegions));
        for (int seat = 0; seat < EntriesPerDomain; ++seat) {
            EntrySeat entry;
            entry.id = InstanceId(domain.id.value() + "-" + std::to_string(seat));
            entry.seat = seat;
            domain.entries.push_back(entry);
        }
        configuration.topology.domains.emplace(domain.id, domain);
    }
    configuration.topology.defaultRegion = siteId(0);
    ServiceConfiguration service;
    service.id = catalog;
    configuration.services.emplace(service.id, service);
    return std::make_shared<const Configuration>(configuration);
}

Weights makeWeights(std::size_t sites)
{
    Weights weights;
    for (std::size_t i = 0; i < sites; ++i) {
        WeightRow &row = weights[catalog][siteId(i)];
        for (std::size_t k = 0; k < RegionsPerRow; ++k) {
            row[siteId((i + k) % ServingRegions)] = Share{ k == 0 ? 600'000 : 200'000 };
        }
    }
    return weights;
}

/// Returns random blocks with prefix lengths of 20 to 28 bits, some of them nested in others.
std::vector<ClientBlockIndex::Block> makeBlocks(std::size_t count, std::size_t sites)
{
    std::mt19937 random(1);
    std::vector<ClientBlockIndex::Block> blocks;
    const auto key = [](const ClientBlockIndex::Block &it) {
        return std::tie(it.network, it.prefixLength);
    };
    const auto isBefore = [&](const auto &a, const auto &b) { return key(a) < key(b); };
    const auto isSame = [&](const auto &a, const auto &b) { return key(a) == key(b); };
    while (blocks.size() < count) {
        // Duplicates are removed below. Drawing 25% more blocks than needed makes one pass
        // sufficient in most cases.
        while (blocks.size() < count + count / 4) {
            const auto length = static_cast<std::uint8_t>(20 + random() % 9);
            const std::uint32_t network = random() & (~std::uint32_t(0) << (32U - length));
            blocks.push_back(
                    { network, length, static_cast<ClientBlockIndex::Site>(random() % sites) });
        }
        std::sort(blocks.begin(), blocks.end(), isBefore);
        blocks.erase(std::unique(blocks.begin(), blocks.end(), isSame), blocks.end());
    }
    std::shuffle(blocks.begin(), blocks.end(), random);
    blocks.resize(count);
    return blocks;
}

std::vector<std::uint32_t> makeCallers(const std::vector<ClientBlockIndex::Block> &blocks)
{
    std::mt19937 random(2);
    std::vector<std::uint32_t> callers(CallerCount);
    for (std::uint32_t &it : callers) {
        const ClientBlockIndex::Block &block = blocks[random() % blocks.size()];
        it = block.network | (random() & ((std::uint32_t(1) << (32U - block.prefixLength)) - 1));
    }
    return callers;
}

void decide(benchmark::State &state)
{
    const auto sites = static_cast<std::size_t>(state.range(1));
    const std::vector<ClientBlockIndex::Block> blocks =
            makeBlocks(static_cast<std::size_t>(state.range(0)), sites);
    const std::vector<std::uint32_t> callers = makeCallers(blocks);
    const auto index = std::make_shared<const ClientBlockIndex>(blocks);
    LookupDecider decider(makeConfiguration(sites), index);
    decider.setWeights(makeWeights(sites), PlanVersion(1));
    const LookupDecider::EntryStates states(decider.entries().size(), EntryState::Live);
    std::size_t i = 0;
    for (auto unused : state) {
        const std::uint32_t caller = callers[i++ % CallerCount];
        benchmark::DoNotOptimize(
                decider.decide(catalog, caller, caller * 0x9e3779b97f4a7c15U, states));
    }
    const double firstLevel = static_cast<double>(ClientBlockIndex().memory().value);
    const auto memory = static_cast<double>(index->memory().value);
    state.counters["bytesPerBlock"] = (memory - firstLevel) / static_cast<double>(blocks.size());
    state.counters["indexBytes"] = memory;
    state.counters["tableBytes"] = static_cast<double>(decider.memory().value);
}

void buildIndex(benchmark::State &state)
{
    const std::vector<ClientBlockIndex::Block> blocks =
            makeBlocks(static_cast<std::size_t>(state.range(0)), 3'800);
    for (auto unused : state) {
        benchmark::DoNotOptimize(ClientBlockIndex(blocks));
    }
}

BENCHMARK(decide)
        ->ArgNames({ "blocks", "sites" })
        ->ArgsProduct({ { 100'000, 500'000, 1'500'000, 4'600'000 }, { 100, 950, 3'800 } });
BENCHMARK(buildIndex)
        ->ArgName("blocks")
        ->Unit(benchmark::kMillisecond)
        ->Arg(100'000)
        ->Arg(500'000)
        ->Arg(1'500'000)
        ->Arg(4'600'000);

} // namespace
} // namespace Tarragon

BENCHMARK_MAIN();
