#include "steering/PlanStepGate.h"

#include <algorithm>
#include <utility>

namespace Tarragon {

microseconds PlanStepGate::holdTime(const Configuration &configuration)
{
    milliseconds ttl{ 0 };
    for (const auto &[id, service] : configuration.services) {
        ttl = std::max(ttl, service.lookupTtl);
    }
    seconds period{ 0 };
    for (const ShiftCap &it : configuration.shifts) {
        period = std::max(period, it.period);
    }
    return ttl + period;
}

PlanStepGate::PlanStepGate(microseconds hold)
    : m_hold(hold)
{}

void PlanStepGate::setPlan(PlanVersion version)
{
    if (m_version < version) {
        m_version = version;
        m_completeSince.reset();
    }
}

void PlanStepGate::acknowledge(const InstanceId &entry, Incarnation incarnation,
                               PlanVersion version, MonotonicTime now)
{
    Acknowledgement &known = m_acknowledged[entry];
    if (known.incarnation != incarnation) {
        known = { incarnation, version, now };
    }
    known.version = std::max(known.version, version);
    known.heardAt = now;
}

void PlanStepGate::setRequired(std::map<FailureDomainId, std::set<InstanceId>> domains)
{
    m_required = std::move(domains);
}

bool PlanStepGate::isAcknowledged(const std::set<InstanceId> &entries) const
{
    return !entries.empty()
           && std::all_of(entries.begin(), entries.end(), [&](const InstanceId &it) {
                  const auto known = m_acknowledged.find(it);
                  return known != m_acknowledged.end() && known->second.version >= m_version;
              });
}

std::vector<FailureDomainId> PlanStepGate::missing() const
{
    std::vector<FailureDomainId> domains;
    for (const auto &[domain, entries] : m_required) {
        if (!isAcknowledged(entries)) {
            domains.push_back(domain);
        }
    }
    return domains;
}

bool PlanStepGate::isHeardSince(const std::set<InstanceId> &entries, MonotonicTime time) const
{
    return std::all_of(entries.begin(), entries.end(), [&](const InstanceId &it) {
        const auto known = m_acknowledged.find(it);
        return known != m_acknowledged.end() && known->second.heardAt >= time;
    });
}

std::vector<FailureDomainId> PlanStepGate::silentSince(MonotonicTime time) const
{
    std::vector<FailureDomainId> domains;
    for (const auto &[domain, entries] : m_required) {
        if (!isHeardSince(entries, time)) {
            domains.push_back(domain);
        }
    }
    return domains;
}

bool PlanStepGate::mayStep(MonotonicTime now)
{
    if (!missing().empty()) {
        m_completeSince.reset();
        return false;
    }
    if (!m_completeSince) {
        m_completeSince = now;
    }
    return now - *m_completeSince >= m_hold && silentSince(*m_completeSince + m_hold / 2).empty();
}

} // namespace Tarragon
