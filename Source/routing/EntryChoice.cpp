#include "routing/EntryChoice.h"

#include "routing/EntrySample.h"

#include <algorithm>
#include <set>

namespace Tarragon {

namespace {

bool isHandledIn(const RouteTable &table, std::string_view host, const RegionId &region)
{
    return std::all_of(table.routes.begin(), table.routes.end(), [host, &region](const Route &it) {
        return it.host != host || it.allows(region);
    });
}

void append(std::vector<EntryRecord> &to, const std::vector<EntryRecord> &from)
{
    to.insert(to.end(), from.begin(), from.end());
}

} // namespace

std::vector<EntryRecord> chooseEntries(const EntryMembership &membership, const RouteTable &table,
                                       std::string_view host, const RegionId &callerRegion,
                                       std::string_view callerAddress, MonotonicTime now)
{
    std::vector<EntryRecord> entries = membership.servingEntries(callerRegion, now);
    if (entries.empty()) {
        std::set<RegionId> regions{ membership.localEntry().region };
        for (const EntryRecord &it : membership.otherEntries()) {
            regions.insert(it.region);
        }
        std::vector<EntryRecord> others;
        for (const RegionId &it : regions) {
            const std::vector<EntryRecord> found = membership.servingEntries(it, now);
            append(isHandledIn(table, host, it) ? entries : others, found);
        }
        if (entries.empty()) {
            entries = others;
        }
    }
    const bool isWeighted = membership.hasDifferingCapacities();
    return sampleEntries(entries, callerAddress,
                         isWeighted ? SampledEntriesPerResponse : MaxEntriesPerResponse,
                         isWeighted ? EntryWeighting::ByCapacity : EntryWeighting::Equal);
}

} // namespace Tarragon
