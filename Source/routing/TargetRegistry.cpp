#include "routing/TargetRegistry.h"

#include <algorithm>

namespace Tarragon {

TargetRegistry::TargetRegistry(const TargetRegistryOptions &options)
    : m_options(options)
{}

void TargetRegistry::replaceAll(const std::vector<DiscoveredTarget> &targets, MonotonicTime now)
{
    std::set<TargetId> named;
    for (const DiscoveredTarget &it : targets) {
        named.insert(it.id);
        set(it, now);
    }
    std::vector<TargetId> missing;
    for (const auto &[id, target] : m_targets) {
        if (!named.contains(id)) {
            missing.push_back(id);
        }
    }
    for (const TargetId &it : missing) {
        remove(it, now);
    }
}

void TargetRegistry::set(const DiscoveredTarget &entry, MonotonicTime now)
{
    const auto [it, isNew] = m_targets.try_emplace(entry.id);
    KnownTarget &target = it->second;
    const bool wasHeld = target.removeAt.has_value();
    const bool isRestart =
            !isNew
            && (target.entry.bornMs != entry.bornMs || target.entry.address != entry.address
                || target.entry.service != entry.service);
    const bool startsDraining = entry.isDraining && (isNew || !target.entry.isDraining);
    if (!isNew && !wasHeld && target.entry == entry) {
        return;
    }
    target.entry = entry;
    target.removeAt.reset();
    if (isRestart) {
        ++target.run;
        target.coldUntil = MonotonicTime();
    }
    target.coldUntil = std::max(target.coldUntil, now + entry.coldRemaining);
    refreshStanding(target);
    ++m_revision;
    if (startsDraining) {
        note(target, "draining");
    } else if (isNew) {
        note(target, "joined");
    } else if (isRestart) {
        note(target, "restarted");
    } else if (wasHeld) {
        note(target, "returned");
    }
}

void TargetRegistry::remove(const TargetId &id, MonotonicTime now)
{
    const auto it = m_targets.find(id);
    if (it == m_targets.end() || it->second.removeAt.has_value()) {
        return;
    }
    KnownTarget &target = it->second;
    const bool mayHaveLapsed = !target.entry.isDraining;
    const bool storeUnsound =
            m_storeLost
            || (m_storeBackAt.has_value() && now - *m_storeBackAt < m_options.lapseGrace);
    if (mayHaveLapsed && storeUnsound) {
        hold(target, m_storeLost ? now : *m_storeBackAt);
        return;
    }
    if (mayHaveLapsed && isBurst(target.entry.service, now)) {
        hold(target, now);
        return;
    }
    erase(it);
}

void TargetRegistry::noteLeaving(const TargetId &id, std::uint64_t bornMs, MonotonicTime now)
{
    const auto it = m_targets.find(id);
    if (it == m_targets.end() || it->second.entry.bornMs != bornMs) {
        return;
    }
    KnownTarget &target = it->second;
    const bool isKnown = hasSaidLeaving(target.entry);
    m_leaving[id] = Leaving{ bornMs, target.entry.address, now };
    if (isKnown) {
        return;
    }
    refreshStanding(target);
    ++m_revision;
    note(target, "said-leaving");
}

bool TargetRegistry::hasSaidLeaving(const DiscoveredTarget &entry) const
{
    const auto it = m_leaving.find(entry.id);
    // Without a start the address tells runs apart.
    return it != m_leaving.end() && it->second.bornMs == entry.bornMs
           && (entry.bornMs != 0 || it->second.address == entry.address);
}

void TargetRegistry::onStoreLost()
{
    m_storeLost = true;
}

void TargetRegistry::onStoreBack(MonotonicTime now)
{
    if (!m_storeLost) {
        return;
    }
    m_storeLost = false;
    m_storeBackAt = now;
    for (auto &[id, target] : m_targets) {
        if (target.removeAt.has_value()) {
            target.removeAt = now + m_options.lapseGrace;
        }
    }
}

void TargetRegistry::setEvacuated(const std::set<FailureDomainId> &domains, MonotonicTime now)
{
    if (domains == m_evacuated) {
        return;
    }
    const std::set<FailureDomainId> before = std::exchange(m_evacuated, domains);
    for (auto &[id, target] : m_targets) {
        const bool wasEvacuated = before.contains(target.entry.domain);
        const bool isEvacuated = domains.contains(target.entry.domain);
        if (wasEvacuated == isEvacuated) {
            continue;
        }
        refreshStanding(target);
        if (wasEvacuated) {
            target.coldUntil = std::max(target.coldUntil, now + m_options.evacuationColdness);
        }
        note(target, isEvacuated ? "evacuated" : "restored");
    }
    ++m_revision;
}

bool TargetRegistry::expire(MonotonicTime now)
{
    bool dropped = false;
    for (auto it = m_targets.begin(); it != m_targets.end();) {
        const auto current = it++;
        const KnownTarget &target = current->second;
        if (!m_storeLost && target.removeAt.has_value() && *target.removeAt <= now) {
            erase(current);
            dropped = true;
        }
    }
    const MonotonicTime oldest = now - m_options.leavingMemory;
    std::erase_if(m_leaving, [this, oldest](const std::pair<const TargetId, Leaving> &it) {
        return it.second.at < oldest && !m_targets.contains(it.first);
    });
    return dropped;
}

std::vector<TargetChange> TargetRegistry::takeChanges()
{
    return std::exchange(m_changes, {});
}

void TargetRegistry::note(const KnownTarget &target, const std::string &what)
{
    m_changes.push_back(TargetChange{ target.entry.id, target.entry.service, what });
}

void TargetRegistry::refreshStanding(KnownTarget &target) const
{
    if (target.entry.isDraining || hasSaidLeaving(target.entry)) {
        target.standing = TargetStanding::Leaving;
    } else if (m_evacuated.contains(target.entry.domain)) {
        target.standing = TargetStanding::Evacuated;
    } else {
        target.standing = TargetStanding::Ready;
    }
}

void TargetRegistry::erase(Targets::iterator it)
{
    note(it->second, "removed");
    m_targets.erase(it);
    ++m_revision;
}

void TargetRegistry::hold(KnownTarget &target, MonotonicTime from)
{
    target.removeAt = from + m_options.lapseGrace;
    note(target, "held");
}

bool TargetRegistry::isBurst(const ServiceId &service, MonotonicTime now)
{
    const MonotonicTime oldest = now - m_options.burstWindow;
    std::erase_if(m_removals, [oldest](const Removal &it) { return it.at < oldest; });
    m_removals.push_back(Removal{ service, now });
    const std::size_t together = static_cast<std::size_t>(
            std::count_if(m_removals.begin(), m_removals.end(),
                          [&service](const Removal &it) { return it.service == service; }));
    const double known = static_cast<double>(readyCount(service) + together - 1);
    return together >= 2 && static_cast<double>(together) > m_options.burstShare * known;
}

std::size_t TargetRegistry::readyCount(const ServiceId &service) const
{
    return static_cast<std::size_t>(std::count_if(
            m_targets.begin(), m_targets.end(), [&service](const Targets::value_type &it) {
                return it.second.entry.service == service
                       && it.second.standing != TargetStanding::Leaving
                       && !it.second.removeAt.has_value();
            }));
}

} // namespace Tarragon
