#pragma once

#include "base/Ids.h"
#include "base/Versions.h"
#include "document/Configuration.h"
#include "entry/Settings.h"
#include "steering/AdmissionControl.h"
#include "steering/AppliedWeights.h"
#include "steering/LookupDecider.h"
#include "steering/Plan.h"
#include "steering/RetryBudget.h"
#include "steering/SlotLedger.h"
#include "steering/TargetHealth.h"

#include <map>
#include <memory>
#include <optional>
#include <string>

namespace Tarragon {

/// What an entry knows and decides by while it serves: the configuration in force and the states
/// that are kept across configurations. Has no sockets of its own.
class ServingState
{
public:
    ServingState(const Settings &settings, Incarnation incarnation, MonotonicTime now);

    /// Puts a newer configuration in force; an older one is ignored. Returns whether it was
    /// adopted.
    bool adopt(const ConfigurationPtr &configuration, MonotonicTime now);
    /// Null until the first configuration.
    const ConfigurationPtr &configuration() const { return m_configuration; }
    /// Null until the first configuration.
    const ServiceConfiguration *findService(const ServiceId &service) const;
    const Target *findTarget(const TargetId &target) const;
    /// Targets of the own failure domain.
    const std::map<TargetId, const Target *> &ownTargets() const { return m_targets; }
    /// The service of a target of the own failure domain; null for others.
    const ServiceConfiguration *serviceOf(const TargetId &target) const;
    /// Takes a plan that has come into force; its weights are applied as fast as the caps allow.
    void adoptPlan(const PlanPtr &plan);
    /// Moves the applied weights; to be called at least every second.
    void advanceWeights(MonotonicTime now);
    /// Null until the first configuration.
    LookupDecider *decider() { return m_decider.get(); }

    /// Records which entries can be reached and which are leaving. Taken whole, because the table
    /// for lookups is built anew from all of them.
    void setEntryStates(std::map<InstanceId, EntryState> states);
    /// State of each entry in the order of the decider.
    const LookupDecider::EntryStates &entryStates() const { return m_entryStates; }
    EntryState entryState(const InstanceId &instance) const;

    SlotLedger &ledger() { return m_ledger; }
    TargetHealth &health() { return m_health; }
    RetryBudget &retryBudget(const ServiceId &service);
    AdmissionControl &admission(const ServiceId &service);

    /// Hands the condition of all targets to the ledger; to be called at least every 100 ms.
    void refreshConditions(MonotonicTime now);
    /// Marks a target as leaving because the platform's list says so.
    void setListedLeaving(const TargetId &target, bool leaving);
    bool isLeaving(const Target &target) const;

    /// Region of the caller with the given IPv4 address, and the region that is to serve it.
    /// Nothing if there is no configuration, the service is unknown or the address is not IPv4.
    std::optional<RegionId> servingRegion(const ServiceId &service,
                                          const std::string &callerAddress) const;

private:
    void adoptTargets(MonotonicTime now);
    void adoptWeights(MonotonicTime now);
    void refreshEntryStates();

    const Settings &m_settings;
    ConfigurationPtr m_configuration;
    std::unique_ptr<LookupDecider> m_decider;
    /// Kept over configurations, because caps count what was applied before.
    std::optional<AppliedWeights> m_weights;
    /// A plan that came before the first configuration.
    PlanPtr m_pendingPlan;
    LookupDecider::EntryStates m_entryStates;
    std::map<InstanceId, EntryState> m_reportedStates;
    std::map<TargetId, const Target *> m_targets;
    std::map<TargetId, const ServiceConfiguration *> m_servicesOfTargets;
    std::map<TargetId, bool> m_listedLeaving;
    SlotLedger m_ledger;
    TargetHealth m_health;
    std::map<ServiceId, RetryBudget> m_retryBudgets;
    std::map<ServiceId, AdmissionControl> m_admission;
};

/// Parses a dotted IPv4 address into host byte order.
std::optional<std::uint32_t> parseIpv4(const std::string &text);

} // namespace Tarragon
