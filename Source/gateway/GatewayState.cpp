#include "gateway/GatewayState.h"

#include <algorithm>
#include <utility>

namespace Tarragon {

GatewayState::GatewayState(const GatewaySettings &settings, const GatewayBounds &bounds)
    : m_locality{ settings.domain, settings.region, settings.regions }
    , m_bounds(bounds)
{
    m_registry.setDrainTime(bounds.drainTime);
}

bool GatewayState::adopt(RouteTable table)
{
    if (m_table != nullptr && table.version <= m_table->version) {
        return false;
    }
    m_table = std::make_shared<const RouteTable>(std::move(table));
    m_serviceSelector.clear();
    for (const auto &[id, service] : m_table->services) {
        std::unique_ptr<ServiceDispatcher> &dispatcher = m_dispatchers[id];
        if (dispatcher == nullptr) {
            dispatcher = std::make_unique<ServiceDispatcher>(m_locality, service, DispatchOptions{},
                                                             m_limits);
            dispatcher->setEntryCount(m_entryCount);
        } else {
            dispatcher->setService(service);
        }
    }
    // New dispatchers have no targets yet; 0 makes refreshTargets() update all dispatchers.
    m_appliedRevision = 0;
    return true;
}

bool GatewayState::markLeavingTargets(MonotonicTime now)
{
    bool hasAny = false;
    for (const auto &[id, dispatcher] : m_dispatchers) {
        for (const LeavingTarget &it : dispatcher->takeLeavingTargets()) {
            m_registry.onLeavingAnnounced(it.id, it.startTimeMs, now);
            hasAny = true;
        }
    }
    return hasAny;
}

void GatewayState::refreshTargets(MonotonicTime now)
{
    markLeavingTargets(now);
    if (m_appliedRevision == m_registry.revision()) {
        return;
    }
    m_appliedRevision = m_registry.revision();
    for (const auto &[id, dispatcher] : m_dispatchers) {
        dispatcher->setTargets(m_registry.targets());
    }
}

void GatewayState::setEntryCount(std::size_t count)
{
    if (count == m_entryCount) {
        return;
    }
    m_entryCount = count;
    updateRetryLimits();
    for (const auto &[id, dispatcher] : m_dispatchers) {
        dispatcher->setEntryCount(count);
    }
}

void GatewayState::setBounds(const GatewayBounds &bounds)
{
    m_bounds = bounds;
    m_registry.setDrainTime(bounds.drainTime);
    updateRetryLimits();
}

void GatewayState::updateRetryLimits()
{
    const RetryLimits limits = ownRetryLimits();
    for (auto &[id, budget] : m_retryBudgets) {
        budget.setShare(limits.retryRatio);
        budget.setMinimum(limits.minRetriesPerWindow);
    }
}

ServiceDispatcher *GatewayState::dispatcher(const ServiceId &service)
{
    const auto it = m_dispatchers.find(service);
    return it == m_dispatchers.end() ? nullptr : it->second.get();
}

RetryBudget &GatewayState::retryBudget(const ServiceId &service)
{
    const auto it = m_retryBudgets.find(service);
    if (it != m_retryBudgets.end()) {
        return it->second;
    }
    const RetryLimits limits = ownRetryLimits();
    return m_retryBudgets
            .emplace(service, RetryBudget(limits.retryRatio, limits.minRetriesPerWindow))
            .first->second;
}

RetryLimits GatewayState::ownRetryLimits() const
{
    return retryLimits(m_bounds.retryShare, m_bounds.extraRetries, m_entryCount);
}

bool GatewayState::canServe() const
{
    return m_table != nullptr && readyTargets() > 0;
}

std::size_t GatewayState::readyTargets() const
{
    std::size_t count = 0;
    for (const auto &[id, dispatcher] : m_dispatchers) {
        count += dispatcher->readyTargets();
    }
    return count;
}

} // namespace Tarragon
