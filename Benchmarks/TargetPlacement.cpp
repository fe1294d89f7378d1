// Measures the processor time of choosing a target for a request, by the number of the service's
// targets, in an entry whose region keeps all its requests ("north") and in one that sends most of
// them to other regions ("middle"). Load: three regions with 49, 10 and 41 percent of the targets,
// no requests in progress, a different object for each request.

#include "routing/RoutingFixture.h"

#include "base/Digest.h"
#include "routing/ServiceDispatcher.h"

#include <benchmark/benchmark.h>

#include <string>

namespace Tarragon {
namespace {

using RoutingFixture::at;

/// Returns the region of a target: 49 percent are in "north", 10 in "middle", 41 in "south".
std::string regionOf(int target)
{
    const int percent = target * 37 % 100;
    return percent < 49 ? "north" : percent < 59 ? "middle" : "south";
}

void place(benchmark::State &state, const std::string &home)
{
    EntryLocality locality{ FailureDomainId(home + "0"), RegionId(home), {} };
    TargetRegistry::Targets targets;
    for (int i = 0; i < static_cast<int>(state.range(0)); ++i) {
        const std::string domain = regionOf(i) + std::to_string(i / 100 % 2);
        KnownTarget known;
        known.registration =
                RoutingFixture::target("target-" + std::to_string(i), domain, 3 + i % 4);
        targets.emplace(known.registration.id, known);
        locality.regionOfDomain[known.registration.domain] = RegionId(regionOf(i));
    }
    const Route route = RoutingFixture::route();
    ServiceDispatcher dispatcher(locality, RoutingFixture::service());
    dispatcher.setTargets(targets);
    PlacementQuery query = RoutingFixture::query(route, 0);
    std::uint64_t object = 0;
    for (auto unused : state) {
        query.objectHash = stableHash(home, ++object);
        benchmark::DoNotOptimize(dispatcher.place(query, at(0)));
    }
}

BENCHMARK_CAPTURE(place, north, "north")->ArgName("targets")->Arg(12)->Arg(142)->Arg(600);
BENCHMARK_CAPTURE(place, middle, "middle")->ArgName("targets")->Arg(12)->Arg(142)->Arg(600);

} // namespace
} // namespace Tarragon

BENCHMARK_MAIN();
