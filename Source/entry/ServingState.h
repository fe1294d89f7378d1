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

/// Holds the state by which an entry decides while it serves: the configuration in force, and the
/// state of slots, targets, weights and queues that is kept across configurations. Does no network
/// I/O.
class ServingState
{
public:
    ServingState(const Settings &settings, Incarnation incarnation, MonotonicTime now);

    /// Applies a configuration if it is newer than the one in force. Returns whether it was
    /// applied.
    bool adopt(const ConfigurationPtr &configuration, MonotonicTime now);
    /// Returns the configuration in force; null before the first one.
    const ConfigurationPtr &configuration() const { return m_configuration; }
    /// Returns a service of the configuration in force; null if it has none of this id.
    const ServiceConfiguration *findService(const ServiceId &service) const;
    /// Returns a target of the own failure domain; null for others.
    const Target *findTarget(const TargetId &target) const;
    /// Returns the targets of the own failure domain.
    const std::map<TargetId, const Target *> &ownTargets() const { return m_targets; }
    /// Returns the service of a target of the own failure domain; null for others.
    const ServiceConfiguration *serviceOf(const TargetId &target) const;
    /// Sets the plan in force. Its weights are applied step by step, as fast as the caps allow.
    void adoptPlan(const PlanPtr &plan);
    /// Moves the applied weights toward those of the plan; to be called at least every second.
    void advanceWeights(MonotonicTime now);
    /// Returns the decider of lookups; null before the first configuration.
    LookupDecider *decider() { return m_decider.get(); }

    /// Replaces the states of all entries (live, leaving, unreachable). They are set together
    /// because the table for lookups is rebuilt from all of them.
    void setEntryStates(std::map<InstanceId, EntryState> states);
    /// Returns the state of each entry, in the order of the entries of the decider.
    const LookupDecider::EntryStates &entryStates() const { return m_entryStates; }
    EntryState entryState(const InstanceId &instance) const;

    SlotLedger &ledger() { return m_ledger; }
    TargetHealth &health() { return m_health; }
    RetryBudget &retryBudget(const ServiceId &service);
    AdmissionControl &admission(const ServiceId &service);

    /// Passes the condition of all targets (ejection, weight, ramp) from the health state to the
    /// slot ledger; to be called at least every 100 ms.
    void refreshConditions(MonotonicTime now);
    /// Sets whether the instance list of the platform shows the target as leaving or gone.
    void setListedLeaving(const TargetId &target, bool leaving);
    /// Whether the target is leaving by the instance list of the platform or by a planned stop.
    bool isLeaving(const Target &target) const;

    /// Returns the region that is to serve a caller with the given IPv4 address. Returns nothing if
    /// there is no configuration, the service is unknown, the address is not IPv4 or no region can
    /// serve the caller.
    std::optional<RegionId> servingRegion(const ServiceId &service,
                                          const std::string &callerAddress) const;

private:
    void adoptTargets(MonotonicTime now);
    void adoptWeights(MonotonicTime now);
    void refreshEntryStates();

    const Settings &m_settings;
    ConfigurationPtr m_configuration;
    std::unique_ptr<LookupDecider> m_decider;
    /// Kept across configurations, because the caps limit changes against the weights applied
    /// before.
    std::optional<AppliedWeights> m_weights;
    /// The newest plan; kept because it may arrive before the first configuration.
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

/// Parses an IPv4 address in dotted notation. Returns it in host byte order.
std::optional<std::uint32_t> parseIpv4(const std::string &text);

} // namespace Tarragon
