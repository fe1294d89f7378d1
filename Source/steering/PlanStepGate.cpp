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
        m_acknowledgedSince.reset();
    }
}

void PlanStepGate::acknowledge(const InstanceId &entry, Incarnation incarnation,
                               PlanVersion version, MonotonicTime now)
{
    Acknowledgement &known = m_acknowledgements[entry];
    if (known.incarnation != incarnation) {
        known = { incarnation, version, now };
    }
    known.version = std::max(known.version, version);
    known.lastReportAt = now;
}

void PlanStepGate::setRequired(std::map<FailureDomainId, std::set<InstanceId>> domains)
{
    m_requiredDomains = std::move(domains);
}

bool PlanStepGate::isAcknowledged(const std::set<InstanceId> &entries) const
{
    return !entries.empty()
           && std::all_of(entries.begin(), entries.end(), [&](const InstanceId &it) {
                  const auto known = m_acknowledgements.find(it);
                  return known != m_acknowledgements.end() && known->second.version >= m_version;
              });
}

std::vector<FailureDomainId> PlanStepGate::unacknowledgedDomains() const
{
    std::vector<FailureDomainId> domains;
    for (const auto &[domain, entries] : m_requiredDomains) {
        if (!isAcknowledged(entries)) {
            domains.push_back(domain);
        }
    }
    return domains;
}

bool PlanStepGate::haveReportedSince(const std::set<InstanceId> &entries, MonotonicTime time) const
{
    return std::all_of(entries.begin(), entries.end(), [&](const InstanceId &it) {
        const auto known = m_acknowledgements.find(it);
        return known != m_acknowledgements.end() && known->second.lastReportAt >= time;
    });
}

std::vector<FailureDomainId> PlanStepGate::domainsWithoutReportSince(MonotonicTime time) const
{
    std::vector<FailureDomainId> domains;
    for (const auto &[domain, entries] : m_requiredDomains) {
        if (!haveReportedSince(entries, time)) {
            domains.push_back(domain);
        }
    }
    return domains;
}

bool PlanStepGate::mayStep(MonotonicTime now)
{
    if (!unacknowledgedDomains().empty()) {
        m_acknowledgedSince.reset();
        return false;
    }
    if (!m_acknowledgedSince) {
        m_acknowledgedSince = now;
    }
    return now - *m_acknowledgedSince >= m_hold
           && domainsWithoutReportSince(*m_acknowledgedSince + m_hold / 2).empty();
}

} // namespace Tarragon
