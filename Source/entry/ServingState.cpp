#include "entry/ServingState.h"

#include "base/Digest.h"
#include "steering/ConfiguredWeights.h"

#include <arpa/inet.h>

namespace Tarragon {

ServingState::ServingState(const Settings &settings, Incarnation incarnation, MonotonicTime now)
    : m_settings(settings)
    , m_ledger(settings.instance, incarnation, SlotLedgerOptions{}, now)
{}

bool ServingState::adopt(const ConfigurationPtr &configuration, MonotonicTime now)
{
    if (m_configuration != nullptr && configuration->generation <= m_configuration->generation) {
        return false;
    }
    m_configuration = configuration;
    m_decider = std::make_unique<LookupDecider>(
            configuration, LookupDecider::indexBlocks(configuration->topology));
    m_ledger.adopt(slotSharesOf(*configuration, m_settings.domain), now);
    adoptWeights(now);
    adoptTargets(now);
    refreshEntryStates();
    return true;
}

void ServingState::adoptWeights(MonotonicTime now)
{
    if (m_weights.has_value()) {
        m_weights->setConfiguration(m_configuration);
    } else {
        m_weights.emplace(m_configuration);
        m_weights->start(configuredWeights(*m_configuration), RegionId(), now);
        if (m_pendingPlan != nullptr) {
            m_weights->setPlan(m_pendingPlan);
        }
    }
    m_decider->setWeights(m_weights->weights(), m_weights->fullyApplied());
}

void ServingState::adoptPlan(const PlanPtr &plan)
{
    m_pendingPlan = plan;
    if (m_weights.has_value()) {
        m_weights->setPlan(plan);
    }
}

void ServingState::advanceWeights(MonotonicTime now)
{
    if (m_weights.has_value() && m_weights->advance(now)) {
        m_decider->setWeights(m_weights->weights(), m_weights->fullyApplied());
    }
}

void ServingState::adoptTargets(MonotonicTime now)
{
    m_targets.clear();
    m_servicesOfTargets.clear();
    std::map<TargetId, ServiceId> own;
    for (const auto &[id, service] : m_configuration->services) {
        int slots = 0;
        int count = 0;
        for (const Target &it : service.targets) {
            if (it.domain != m_settings.domain) {
                continue;
            }
            m_targets[it.id] = &it;
            m_servicesOfTargets[it.id] = &service;
            own[it.id] = id;
            slots += m_ledger.allowance(it.id, now);
            ++count;
        }
        retryBudget(id).setShare(service.retryShare);
        admission(id).setCapacity(std::max(slots, 1), service.queuePerTarget * count);
    }
    m_health.setTargets(own);
    for (const auto &[id, target] : m_targets) {
        m_ledger.setLeaving(id, isLeaving(*target));
    }
}

const ServiceConfiguration *ServingState::findService(const ServiceId &service) const
{
    if (m_configuration == nullptr) {
        return nullptr;
    }
    const std::map<ServiceId, ServiceConfiguration>::const_iterator it =
            m_configuration->services.find(service);
    return it == m_configuration->services.end() ? nullptr : &it->second;
}

const Target *ServingState::findTarget(const TargetId &target) const
{
    const std::map<TargetId, const Target *>::const_iterator it = m_targets.find(target);
    return it == m_targets.end() ? nullptr : it->second;
}

const ServiceConfiguration *ServingState::serviceOf(const TargetId &target) const
{
    const std::map<TargetId, const ServiceConfiguration *>::const_iterator it =
            m_servicesOfTargets.find(target);
    return it == m_servicesOfTargets.end() ? nullptr : it->second;
}

void ServingState::setEntryStates(std::map<InstanceId, EntryState> states)
{
    m_reportedStates = std::move(states);
    refreshEntryStates();
}

EntryState ServingState::entryState(const InstanceId &instance) const
{
    const std::map<InstanceId, EntryState>::const_iterator it = m_reportedStates.find(instance);
    return it == m_reportedStates.end() ? EntryState::Unreachable : it->second;
}

void ServingState::refreshEntryStates()
{
    if (m_decider == nullptr) {
        return;
    }
    m_entryStates.clear();
    for (const LookupDecider::Entry &it : m_decider->entries()) {
        const bool stopped = m_configuration->isStopped(it.seat.id, it.domain);
        m_entryStates.push_back(stopped ? EntryState::Leaving : entryState(it.seat.id));
    }
}

RetryBudget &ServingState::retryBudget(const ServiceId &service)
{
    return m_retryBudgets.try_emplace(service, Share{ 100'000 }).first->second;
}

AdmissionControl &ServingState::admission(const ServiceId &service)
{
    return m_admission[service];
}

void ServingState::refreshConditions(MonotonicTime now)
{
    for (const auto &[id, target] : m_targets) {
        const TargetCondition condition = m_health.condition(id, now);
        m_ledger.setCondition(id, condition.ejected ? 0 : condition.weight, condition.ramp);
    }
}

void ServingState::setListedLeaving(const TargetId &target, bool leaving)
{
    m_listedLeaving[target] = leaving;
    const Target *known = findTarget(target);
    if (known != nullptr) {
        m_ledger.setLeaving(target, isLeaving(*known));
    }
}

bool ServingState::isLeaving(const Target &target) const
{
    const std::map<TargetId, bool>::const_iterator it = m_listedLeaving.find(target.id);
    const bool listed = it != m_listedLeaving.end() && it->second;
    return listed || (m_configuration != nullptr && m_configuration->isStopped(target));
}

std::optional<RegionId> ServingState::servingRegion(const ServiceId &service,
                                                    const std::string &callerAddress) const
{
    const std::optional<std::uint32_t> address = parseIpv4(callerAddress);
    if (m_decider == nullptr || !address.has_value()) {
        return std::nullopt;
    }
    const LookupDecision decision =
            m_decider->decide(service, *address, stableHash(callerAddress), m_entryStates);
    if (decision.servingRegion == LookupDecision::NoRegion) {
        return std::nullopt;
    }
    return m_decider->regions()[decision.servingRegion];
}

std::optional<std::uint32_t> parseIpv4(const std::string &text)
{
    in_addr address{};
    if (inet_pton(AF_INET, text.c_str(), &address) != 1) {
        return std::nullopt;
    }
    return ntohl(address.s_addr);
}

} // namespace Tarragon
