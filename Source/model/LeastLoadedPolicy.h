#pragma once

#include "routing/ServiceDispatcher.h"

namespace Tarragon {

/// Sends each request to the target with the least load and ignores object affinity. Serves as the
/// baseline that ServiceDispatcher is compared with.
class LeastLoadedPolicy
{
public:
    LeastLoadedPolicy(const EntryLocality &, const HostedService &service)
        : m_service(service.id)
    {}

    Placement place(const PlacementQuery &query, MonotonicTime now) const;
    void setTargets(const TargetRegistry::Targets &targets);
    void setEntryCount(std::size_t) {}
    void onSent(const TargetId &target, MonotonicTime now);
    void onReport(const TargetId &target, const LoadReport &report, MonotonicTime now);
    void onEnded(const TargetId &target, const RouteName &route, SendOutcome outcome,
                 microseconds duration, bool hadToWait, MonotonicTime now);

private:
    struct TargetState
    {
        SlotCount slots;
        TargetLoad load;
    };

    ServiceId m_service;
    std::map<TargetId, TargetState> m_targets;
};

} // namespace Tarragon
