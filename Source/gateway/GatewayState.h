#pragma once

#include "gateway/GatewaySettings.h"
#include "routing/PartChooser.h"
#include "routing/RetryLimits.h"
#include "routing/RouteTable.h"
#include "routing/ServiceDispatcher.h"
#include "routing/TargetRegistry.h"
#include "steering/RetryBudget.h"

#include <map>
#include <memory>

namespace Tarragon {

/// What an entry believes and decides by: the route table in force, the targets, and one dispatcher
/// and retry budget for each service.
class GatewayState
{
public:
    GatewayState(const GatewaySettings &settings, const GatewayBounds &bounds);

    /// Puts a table in force if its version is above the present one. Returns whether it did.
    bool adopt(RouteTable table);
    /// Null before the first table.
    const RouteTablePtr &table() const { return m_table; }
    TargetRegistry &registry() { return m_registry; }
    /// Tells the registry of targets that have said that they are leaving. Returns whether any has.
    bool collectLeaving(MonotonicTime now);
    /// Hands changed targets to the dispatchers.
    void refreshTargets(MonotonicTime now);
    /// Takes the number of entries by which limits of the whole deployment are divided; 0 while it
    /// is unknown.
    void setEntryCount(std::size_t count, MonotonicTime now);

    /// Takes changed bounds, from now on.
    void setBounds(const GatewayBounds &bounds);

    PartChooser &parts() { return m_parts; }
    /// Null for a service that no table has named.
    ServiceDispatcher *dispatcher(const ServiceId &service);
    RetryBudget &retryBudget(const ServiceId &service);
    const std::map<ServiceId, std::unique_ptr<ServiceDispatcher>> &dispatchers() const
    {
        return m_dispatchers;
    }
    /// Budgets of the services that have got requests.
    const std::map<ServiceId, RetryBudget> &retryBudgets() const { return m_retryBudgets; }
    /// Whether requests can be served: there is a table, and a target may be used.
    bool canServe() const;
    std::size_t readyTargets() const;

private:
    RetryLimits ownRetryLimits() const;
    void limitRetries();

    EntryPlace m_place;
    GatewayBounds m_bounds;
    RouteTablePtr m_table;
    TargetRegistry m_registry;
    std::uint64_t m_seenRevision = 0;
    std::size_t m_entries = 0;
    PartChooser m_parts;
    std::map<ServiceId, std::unique_ptr<ServiceDispatcher>> m_dispatchers;
    std::map<ServiceId, RetryBudget> m_retryBudgets;
};

} // namespace Tarragon
