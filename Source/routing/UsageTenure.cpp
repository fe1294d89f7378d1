#include "routing/UsageTenure.h"

#include <algorithm>

namespace Tarragon {

namespace {

/// Time without observations after which the process counts as suspended: other entries may have
/// replaced it as issuer. Less than the time after which they do, as they time from its last
/// heartbeat.
constexpr milliseconds MaxGap{ 2'000 };
/// Time before the local entry first saw most of the others from which its buckets fill if all
/// started together: no entry could grant tokens until then. Entries learn of each other one after
/// another, so that two of them may be the issuer within 5 s; with this time both together exceed
/// the rate by less than the tolerated tenth and the burst.
constexpr milliseconds FleetStartTime{ 500 };
/// Time within which the set of live entries is not read again.
constexpr milliseconds MinPeriod{ 50 };

} // namespace

void UsageTenure::observe(MonotonicTime now)
{
    const bool wasSuspended = m_observedAt.has_value() && now - *m_observedAt > MaxGap;
    const bool isFirst = !m_observedAt.has_value();
    if (!isFirst && now - *m_observedAt < MinPeriod) {
        return;
    }
    m_observedAt = now;
    const bool hasMajority = m_membership.usageFraction(now) >= 1;
    if (isFirst || wasSuspended || hasMajority != m_hasMajority) {
        const bool isFleetStart =
                hasMajority && !wasSuspended && m_membership.startedWithOthers(now);
        const MonotonicTime at =
                isFleetStart && !isFirst ? std::max(m_start.at, now - FleetStartTime) : now;
        m_start = Start{ at, isFleetStart };
    }
    m_hasMajority = hasMajority;
    std::set<InstanceId> entries = m_membership.usageEntries(now);
    for (const InstanceId &it : m_entries) {
        if (!entries.contains(it)) {
            m_losses[it] = now;
        }
    }
    m_entries = std::move(entries);
    std::erase_if(m_losses, [now](const auto &it) { return now - it.second >= Retention; });
}

UsageTenure::Start UsageTenure::of(const WorkspaceName &workspace) const
{
    Start start = m_start;
    const InstanceId &local = m_membership.localEntry().instance;
    for (const auto &[id, at] : m_losses) {
        if (at > start.at && EntryMembership::precedes(id, local, workspace)) {
            start = Start{ at, false };
        }
    }
    return start;
}

} // namespace Tarragon
