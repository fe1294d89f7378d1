#include "routing/EntrySample.h"

#include "base/Digest.h"
#include "steering/Rendezvous.h"

#include <algorithm>
#include <utility>

namespace Tarragon {

namespace {

/// An entry with its weight and its rank for one caller.
struct Ranked
{
    const EntryRecord *entry = nullptr;
    double weight = 0;
    /// Entries with the lowest ranks are sampled.
    double rank = 0;
};

/// Returns the odds of a random number that depends on the caller and the entry.
double hashOdds(std::uint64_t callerKey, const EntryRecord &entry)
{
    const std::uint64_t hash = rendezvousHash(callerKey, stableHash(entry.instance.value()));
    // Half a step avoids odds of 0, which are those of entries that are always sampled.
    const double number = unitInterval(hash) + 0x1p-54;
    return number / (1 - number);
}

/// Sets the ranks. `entries` must be sorted by weight, the largest first.
void rank(std::vector<Ranked> &entries, std::uint64_t callerKey, std::size_t count)
{
    double totalWeight = 0;
    for (const Ranked &it : entries) {
        totalWeight += it.weight;
    }
    double remaining = static_cast<double>(count);
    for (Ranked &it : entries) {
        const double probability = it.weight * remaining / totalWeight;
        if (probability >= 1) {
            // The others share what this entry leaves.
            it.rank = 0;
            totalWeight -= it.weight;
            --remaining;
            continue;
        }
        it.rank = hashOdds(callerKey, *it.entry) * (1 - probability) / probability;
    }
}

} // namespace

std::vector<EntryRecord> sampleEntries(const std::vector<EntryRecord> &entries,
                                       std::string_view caller, std::size_t count,
                                       EntryWeighting weighting)
{
    if (entries.size() <= count) {
        return entries;
    }
    std::vector<Ranked> ranked;
    ranked.reserve(entries.size());
    for (const EntryRecord &it : entries) {
        const bool isWeighted = weighting == EntryWeighting::ByCapacity;
        ranked.push_back(Ranked{ &it, isWeighted ? it.capacity->value : 1, 0 });
    }
    std::stable_sort(ranked.begin(), ranked.end(),
                     [](const Ranked &a, const Ranked &b) { return a.weight > b.weight; });
    rank(ranked, stableHash(caller), count);
    const auto end = ranked.begin() + static_cast<std::ptrdiff_t>(count);
    std::partial_sort(ranked.begin(), end, ranked.end(),
                      [](const Ranked &a, const Ranked &b) { return a.rank < b.rank; });
    std::vector<EntryRecord> sample;
    sample.reserve(count);
    for (auto it = ranked.begin(); it != end; ++it) {
        sample.push_back(*it->entry);
    }
    return sample;
}

} // namespace Tarragon
