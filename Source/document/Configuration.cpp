#include "document/Configuration.h"

#include <algorithm>

namespace Tarragon {

namespace {

/// Whether a stop covers the failure domain itself or its region.
bool coversDomain(const PlannedStop &stop, const FailureDomainId &domain, const Topology &topology)
{
    if (stop.kind == StopKind::Domain) {
        return stop.id == domain.value();
    }
    const auto it = topology.domains.find(domain);
    return stop.kind == StopKind::Region && it != topology.domains.end()
           && stop.id == it->second.region.value();
}

} // namespace

bool Configuration::isStopped(const Target &target) const
{
    return std::any_of(stops.begin(), stops.end(), [&](const PlannedStop &stop) {
        return (stop.kind == StopKind::Target && stop.id == target.id.value())
               || coversDomain(stop, target.domain, topology);
    });
}

bool Configuration::isStopped(const InstanceId &instance, const FailureDomainId &domain) const
{
    return std::any_of(stops.begin(), stops.end(), [&](const PlannedStop &stop) {
        return (stop.kind == StopKind::Instance && stop.id == instance.value())
               || coversDomain(stop, domain, topology);
    });
}

} // namespace Tarragon
