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

void PlanStepGate::acknowledge(const FailureDomainId &domain, PlanVersion version)
{
    PlanVersion &known = m_acknowledged[domain];
    known = std::max(known, version);
}

void PlanStepGate::setRequired(std::set<FailureDomainId> domains)
{
    m_required = std::move(domains);
}

std::vector<FailureDomainId> PlanStepGate::missing() const
{
    std::vector<FailureDomainId> domains;
    for (const FailureDomainId &it : m_required) {
        const auto known = m_acknowledged.find(it);
        if (known == m_acknowledged.end() || known->second < m_version) {
            domains.push_back(it);
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
    return now - *m_completeSince >= m_hold;
}

} // namespace Tarragon
