#include "routing/TargetRegistry.h"

#include <algorithm>

namespace Tarragon {

TargetRegistry::TargetRegistry(const TargetRegistryOptions &options)
    : m_options(options)
{}

void TargetRegistry::replaceAll(const std::vector<DiscoveredTarget> &targets, MonotonicTime now,
                                const std::optional<MonotonicTime> &madeAfter)
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
        remove(it, now, madeAfter);
    }
}

void TargetRegistry::replaceAllRestored(const std::vector<DiscoveredTarget> &targets,
                                        MonotonicTime now)
{
    std::vector<DiscoveredTarget> usable;
    std::map<TargetId, HeldBackTarget> heldBack;
    for (const DiscoveredTarget &it : targets) {
        const auto removed = m_removedTargets.find(it.id);
        if (removed != m_removedTargets.end() && removed->second.startTimeMs == it.startTimeMs) {
            heldBack[it.id] = HeldBackTarget{ it, now + m_options.restoredHoldTime };
        } else {
            usable.push_back(it);
        }
    }
    m_retentionAfterOutageEndsAt = now + m_options.gracePeriod;
    replaceAll(usable, now);
    m_heldBackTargets = std::move(heldBack);
}

void TargetRegistry::set(const DiscoveredTarget &entry, MonotonicTime now)
{
    m_removedTargets.erase(entry.id);
    m_heldBackTargets.erase(entry.id);
    const auto [it, isNew] = m_targets.try_emplace(entry.id);
    KnownTarget &target = it->second;
    const bool wasRetained = target.retainedUntil.has_value();
    const bool isRestart = !isNew
                           && (target.registration.startTimeMs != entry.startTimeMs
                               || target.registration.address != entry.address
                               || target.registration.service != entry.service);
    const bool stopsDraining =
            !isNew && !isRestart && target.registration.isDraining && !entry.isDraining;
    const bool startsDraining = entry.isDraining && (isNew || !target.registration.isDraining);
    if (!isNew && !wasRetained && target.registration == entry) {
        return;
    }
    target.registration = entry;
    target.retainedUntil.reset();
    if (entry.isDraining) {
        // An earlier write of the same process may take effect later.
        m_leavingAnnouncements[entry.id] =
                LeavingAnnouncement{ entry.startTimeMs, entry.address, now };
    }
    if (isRestart) {
        ++target.restartCount;
        target.coldUntil = MonotonicTime();
    }
    target.coldUntil = std::max(target.coldUntil, now + entry.coldRemaining);
    updateAvailability(target);
    ++m_revision;
    if (startsDraining) {
        recordChange(target, "draining");
    } else if (stopsDraining) {
        recordChange(target, "ready-again");
    } else if (isNew) {
        recordChange(target, "joined");
    } else if (isRestart) {
        recordChange(target, "restarted");
    } else if (wasRetained) {
        recordChange(target, "returned");
    }
}

void TargetRegistry::remove(const TargetId &id, MonotonicTime now,
                            const std::optional<MonotonicTime> &madeAfter)
{
    m_heldBackTargets.erase(id);
    const auto it = m_targets.find(id);
    if (it == m_targets.end() || it->second.retainedUntil.has_value()) {
        return;
    }
    KnownTarget &target = it->second;
    const std::optional<MonotonicTime> end = retentionEnd(target, now, madeAfter.value_or(now));
    if (!end.has_value() || *end <= now) {
        erase(it, now);
        return;
    }
    target.retainedUntil = end;
    recordChange(target, "held");
}

std::optional<MonotonicTime>
TargetRegistry::retentionEnd(const KnownTarget &target, MonotonicTime now, MonotonicTime madeAfter)
{
    if (target.registration.isDraining) {
        return std::nullopt;
    }
    if (now < m_retentionAfterOutageEndsAt) {
        return m_retentionAfterOutageEndsAt;
    }
    if (!m_storeUnavailableSince.has_value() && !isWithinGracePeriod(m_outageEndedAt, now)
        && !isMassRemoval(target.registration.service, now)) {
        return std::nullopt;
    }
    return std::min(now + m_options.gracePeriod,
                    madeAfter + m_options.drainTime - m_options.drainMargin);
}

void TargetRegistry::onLeavingAnnounced(const TargetId &id, std::uint64_t startTimeMs,
                                        MonotonicTime now)
{
    const auto it = m_targets.find(id);
    if (it == m_targets.end()) {
        // The registration may only have expired and be written again.
        LeavingAnnouncement &announcement = m_leavingAnnouncements[id];
        if (startTimeMs >= announcement.startTimeMs) {
            announcement = LeavingAnnouncement{ startTimeMs, announcement.address, now };
        }
        return;
    }
    if (it->second.registration.startTimeMs != startTimeMs) {
        return;
    }
    KnownTarget &target = it->second;
    const bool isKnown = hasAnnouncedLeaving(target.registration);
    m_leavingAnnouncements[id] =
            LeavingAnnouncement{ startTimeMs, target.registration.address, now };
    if (isKnown) {
        return;
    }
    updateAvailability(target);
    ++m_revision;
    recordChange(target, "said-leaving");
}

bool TargetRegistry::hasAnnouncedLeaving(const DiscoveredTarget &entry) const
{
    const auto it = m_leavingAnnouncements.find(entry.id);
    if (it == m_leavingAnnouncements.end() || it->second.startTimeMs != entry.startTimeMs) {
        return false;
    }
    // If the start time is unknown, the address distinguishes processes.
    return entry.startTimeMs != 0 || !it->second.address.has_value()
           || it->second.address == entry.address;
}

void TargetRegistry::onStoreUnavailable(MonotonicTime now)
{
    m_storeUnavailableSince = now;
}

void TargetRegistry::onStoreAvailable(MonotonicTime now,
                                      const std::optional<MonotonicTime> &lastFailureBeganAt)
{
    if (!m_storeUnavailableSince.has_value()) {
        return;
    }
    m_outageEndedAt = now;
    if (now - *m_storeUnavailableSince >= m_options.minExpiryOutage) {
        m_retentionAfterOutageEndsAt =
                std::min(now + m_options.gracePeriod,
                         lastFailureBeganAt.value_or(now) + m_options.maxRetentionAfterFailure);
    }
    m_storeUnavailableSince.reset();
}

void TargetRegistry::setEvacuated(const std::set<FailureDomainId> &domains, MonotonicTime now)
{
    if (domains == m_evacuated) {
        return;
    }
    const std::set<FailureDomainId> before = std::exchange(m_evacuated, domains);
    for (auto &[id, target] : m_targets) {
        const bool wasEvacuated = before.contains(target.registration.domain);
        const bool isEvacuated = domains.contains(target.registration.domain);
        if (wasEvacuated == isEvacuated) {
            continue;
        }
        updateAvailability(target);
        if (wasEvacuated) {
            target.coldUntil = std::max(target.coldUntil, now + m_options.coldTimeAfterEvacuation);
        }
        recordChange(target, isEvacuated ? "evacuated" : "restored");
    }
    ++m_revision;
}

bool TargetRegistry::removeExpired(MonotonicTime now)
{
    bool dropped = releaseHeldBack(now);
    for (auto it = m_targets.begin(); it != m_targets.end();) {
        const auto current = it++;
        const KnownTarget &target = current->second;
        if (target.retainedUntil.has_value() && *target.retainedUntil <= now) {
            erase(current, now);
            dropped = true;
        }
    }
    const MonotonicTime oldest = now - m_options.leavingRetention;
    std::erase_if(m_leavingAnnouncements,
                  [this, oldest](const std::pair<const TargetId, LeavingAnnouncement> &it) {
                      return it.second.at < oldest && !m_targets.contains(it.first);
                  });
    return dropped;
}

std::vector<TargetChange> TargetRegistry::takeTargetChanges()
{
    return std::exchange(m_changes, {});
}

void TargetRegistry::recordChange(const KnownTarget &target, const std::string &change)
{
    m_changes.push_back(
            TargetChange{ target.registration.id, target.registration.service, change });
}

void TargetRegistry::updateAvailability(KnownTarget &target) const
{
    if (hasAnnouncedLeaving(target.registration)) {
        target.availability = TargetAvailability::Leaving;
    } else if (m_evacuated.contains(target.registration.domain)) {
        target.availability = TargetAvailability::Evacuated;
    } else {
        target.availability = TargetAvailability::Ready;
    }
}

bool TargetRegistry::releaseHeldBack(MonotonicTime now)
{
    const MonotonicTime oldest = now - m_options.removalMemory;
    std::erase_if(m_removedTargets, [oldest](const auto &it) { return it.second.at < oldest; });
    std::vector<DiscoveredTarget> released;
    for (const auto &[id, target] : m_heldBackTargets) {
        if (target.until <= now) {
            released.push_back(target.registration);
        }
    }
    for (const DiscoveredTarget &it : released) {
        set(it, now);
    }
    return !released.empty();
}

void TargetRegistry::erase(Targets::iterator it, MonotonicTime now)
{
    m_removedTargets[it->first] = RemovedTarget{ it->second.registration.startTimeMs, now };
    recordChange(it->second, "removed");
    m_targets.erase(it);
    ++m_revision;
}

bool TargetRegistry::isMassRemoval(const ServiceId &service, MonotonicTime now)
{
    const MonotonicTime oldest = now - m_options.massRemovalWindow;
    std::erase_if(m_removals, [oldest](const Removal &it) { return it.at < oldest; });
    m_removals.push_back(Removal{ service, now });
    const std::size_t together = static_cast<std::size_t>(
            std::count_if(m_removals.begin(), m_removals.end(),
                          [&service](const Removal &it) { return it.service == service; }));
    const double known = static_cast<double>(readyCount(service) + together - 1);
    return together >= 2 && static_cast<double>(together) > m_options.massRemovalFraction * known;
}

std::size_t TargetRegistry::readyCount(const ServiceId &service) const
{
    return static_cast<std::size_t>(std::count_if(
            m_targets.begin(), m_targets.end(), [&service](const Targets::value_type &it) {
                return it.second.registration.service == service
                       && it.second.availability != TargetAvailability::Leaving
                       && !it.second.retainedUntil.has_value();
            }));
}

} // namespace Tarragon
