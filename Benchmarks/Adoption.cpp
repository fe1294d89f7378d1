// Measures the processor time of adopting a document, by its number of targets: splitting the
// document, parsing and checking all sections, and building the lookup tables. Reports the size of
// the document in bytes.

#include "document/DocumentParser.h"
#include "steering/LookupDecider.h"

#include <benchmark/benchmark.h>

#include <memory>
#include <sstream>
#include <string>

namespace Tarragon {
namespace {

constexpr int Domains = 104;
constexpr int Regions = 37;
constexpr int EntriesPerDomain = 23;
constexpr int TargetsPerService = 120;

std::string domainName(int i)
{
    return "domain-" + std::to_string(i);
}

/// Returns a document with the given number of targets and with as many regions, failure domains
/// and entries as the largest deployment that the system is designed for.
std::string documentOf(int targets)
{
    const int services = (targets + TargetsPerService - 1) / TargetsPerService;
    std::ostringstream text;
    text << "access:\n  teams:\n    t: { tokenSha256: " << std::string(64, 'a') << " }\n"
         << "  owners:\n    access: t\n    topology: t\n    shifts: t\n    stops: t\n";
    for (int i = 0; i < services; ++i) {
        text << "    services.s" << i << ": t\n";
    }
    text << "topology:\n  storeRegion: region-0\n  defaultRegion: region-0\n"
         << "  delays: { betweenDomains: 4ms, toClients: 3ms }\n  regions:\n";
    for (int r = 0; r < Regions; ++r) {
        text << "    region-" << r << ":\n      domains:\n";
        for (int d = r; d < Domains; d += Regions) {
            text << "        " << domainName(d) << ":\n          entries:\n";
            for (int e = 0; e < EntriesPerDomain; ++e) {
                const std::string address =
                        "127." + std::to_string(d) + ".1." + std::to_string(e + 1);
                text << "            - { id: e-" << d << "-" << e << ", seat: " << e
                     << ", http: " << address << ":8080, rpc: " << address << ":9080 }\n";
            }
        }
    }
    text << "  links: []\n  clientBlocks: {}\nservices:\n";
    for (int s = 0; s < services; ++s) {
        text << "  s" << s << ":\n    targets:\n";
        for (int i = s * TargetsPerService; i < std::min(targets, (s + 1) * TargetsPerService);
             ++i) {
            text << "      - { id: t" << i << ", domain: " << domainName(i % Domains)
                 << ", address: 127." << i % Domains << "." << 2 + i / Domains / 250 << "."
                 << 1 + i / Domains % 250 << ":7080, slots: 4 }\n";
        }
        text << "    connectionsPerTarget: 100\n    requests:\n      - { method: \"*\", path: /, "
                "class: lookup, idempotent: true "
                "}\n";
    }
    text << "shifts: []\nstops: []\n";
    return text.str();
}

void adoption(benchmark::State &state)
{
    const std::string text = documentOf(static_cast<int>(state.range(0)));
    for (auto _ : state) {
        Findings findings;
        std::optional<Configuration> configuration = parseWholeDocument(text, "d.yaml", findings);
        if (!configuration.has_value()) {
            state.SkipWithError(toString(findings.front()).c_str());
            return;
        }
        const ConfigurationPtr shared =
                std::make_shared<const Configuration>(std::move(*configuration));
        const LookupDecider decider(shared, LookupDecider::indexBlocks(shared->topology));
        benchmark::DoNotOptimize(&decider);
    }
    state.counters["documentBytes"] = static_cast<double>(text.size());
}
BENCHMARK(adoption)->Arg(36)->Arg(500)->Arg(1500)->Arg(3800)->Unit(benchmark::kMillisecond);

} // namespace
} // namespace Tarragon

BENCHMARK_MAIN();
