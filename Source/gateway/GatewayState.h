#pragma once

#include "gateway/GatewaySettings.h"
#include "routing/RetryLimits.h"
#include "routing/RouteTable.h"
#include "routing/ServiceDispatcher.h"
#include "routing/SuspectRequests.h"
#include "routing/TargetRegistry.h"
#include "routing/WeightedServiceSelector.h"
#include "steering/RetryBudget.h"

#include <map>
#include <memory>
#include <optional>

namespace Tarragon {

/// State on which an entry bases its routing decisions: the route table in force, the targets, and
/// one dispatcher and retry budget per service.
class GatewayState
{
public:
    GatewayState(const GatewaySettings &settings, const GatewayBounds &bounds);

    /// Puts a route table in force if its version is greater than that of the current one. Returns
    /// whether it did.
    bool adopt(RouteTable table);
    /// The route table in force; null before the first one.
    const RouteTablePtr &table() const { return m_table; }
    TargetRegistry &registry() { return m_registry; }
    /// Marks targets in the registry as leaving if they announced it in a response. Returns whether
    /// there were any.
    bool markLeavingTargets(MonotonicTime now);
    /// Passes the registry's targets to the dispatchers if they have changed.
    void refreshTargets(MonotonicTime now);
    /// Sets the number of entries by which limits of the whole deployment are divided; 0 means that
    /// it is unknown.
    void setEntryCount(std::size_t count);

    /// Sets new limits, effective immediately also for retry budgets in use.
    void setBounds(const GatewayBounds &bounds);

    /// Sets the time by which all requests must have ended, because the process then exits.
    void setStopTime(MonotonicTime time) { m_stopTime = time; }
    /// Returns that time; nothing while no stop is planned.
    const std::optional<MonotonicTime> &stopTime() const { return m_stopTime; }

    WeightedServiceSelector &serviceSelector() { return m_serviceSelector; }
    /// Returns the dispatcher of a service; null if no route table has contained the service.
    ServiceDispatcher *dispatcher(const ServiceId &service);
    RetryBudget &retryBudget(const ServiceId &service);
    /// What is known about the limits that targets state.
    TargetLimits &limits() { return *m_limits; }
    /// What is known about requests that were at targets when these ended.
    SuspectRequests &suspects() { return m_suspects; }
    const std::map<ServiceId, std::unique_ptr<ServiceDispatcher>> &dispatchers() const
    {
        return m_dispatchers;
    }
    /// Retry budgets of the services that have received requests.
    const std::map<ServiceId, RetryBudget> &retryBudgets() const { return m_retryBudgets; }
    /// Whether requests can be served: a route table is in force, and at least one target is ready.
    bool canServe() const;
    std::size_t readyTargets() const;

private:
    RetryLimits ownRetryLimits() const;
    void updateRetryLimits();

    EntryLocality m_locality;
    GatewayBounds m_bounds;
    RouteTablePtr m_table;
    TargetRegistry m_registry;
    std::shared_ptr<TargetLimits> m_limits = std::make_shared<TargetLimits>();
    SuspectRequests m_suspects;
    std::uint64_t m_appliedRevision = 0;
    std::size_t m_entryCount = 0;
    std::optional<MonotonicTime> m_stopTime;
    WeightedServiceSelector m_serviceSelector;
    std::map<ServiceId, std::unique_ptr<ServiceDispatcher>> m_dispatchers;
    std::map<ServiceId, RetryBudget> m_retryBudgets;
};

} // namespace Tarragon
