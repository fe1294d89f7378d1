#include "steering/SlotShares.h"

#include "base/Digest.h"

#include <algorithm>

namespace Tarragon {

SlotShares slotSharesOf(const Configuration &configuration, const FailureDomainId &domain)
{
    SlotShares shares{ configuration.generation, Generation(), {}, {} };
    const auto found = configuration.topology.domains.find(domain);
    if (found == configuration.topology.domains.end()) {
        return shares;
    }
    std::vector<EntrySeat> entries = found->second.entries;
    std::sort(entries.begin(), entries.end(),
              [](const EntrySeat &a, const EntrySeat &b) { return a.seat < b.seat; });
    for (const EntrySeat &it : entries) {
        shares.seats.push_back(it.id);
    }
    for (const auto &[id, service] : configuration.services) {
        for (const Target &it : service.targets) {
            if (it.domain == domain) {
                shares.targets.push_back(SlotTarget{ it.id, id, it.slots });
            }
        }
    }
    return shares;
}

SlotCount staticShare(const TargetId &target, SlotCount slots, int seat, int seats)
{
    if (seats <= 0 || seat < 0 || seat >= seats || slots.value <= 0) {
        return SlotCount{ 0 };
    }
    const int first =
            static_cast<int>(stableHash(target.value()) % static_cast<std::uint64_t>(seats));
    const int place = (seat - first + seats) % seats;
    return SlotCount{ slots.value / seats + (place < slots.value % seats ? 1 : 0) };
}

} // namespace Tarragon
