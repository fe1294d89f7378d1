#include "model/LeastLoadedPolicy.h"

namespace Tarragon {

Placement LeastLoadedPolicy::place(const PlacementQuery &query, MonotonicTime now) const
{
    Placement placement;
    double least = 0;
    for (const auto &[id, state] : m_targets) {
        if (query.triedTargets.contains(id)) {
            continue;
        }
        const double load = state.load.backlog(now) / state.slots.value;
        if (!placement.target.has_value() || load < least) {
            placement.target = id;
            least = load;
        }
    }
    return placement;
}

void LeastLoadedPolicy::setTargets(const TargetRegistry::Targets &targets)
{
    std::map<TargetId, TargetState> states;
    for (const auto &[id, known] : targets) {
        if (known.registration.service == m_service) {
            const auto before = m_targets.find(id);
            states[id] = before == m_targets.end() ? TargetState{ known.registration.slots, {} }
                                                   : before->second;
        }
    }
    m_targets = std::move(states);
}

void LeastLoadedPolicy::onSent(const TargetId &target, MonotonicTime)
{
    const auto it = m_targets.find(target);
    if (it != m_targets.end()) {
        it->second.load.onSent();
    }
}

void LeastLoadedPolicy::onReport(const TargetId &target, const LoadReport &report,
                                 MonotonicTime now)
{
    const auto it = m_targets.find(target);
    if (it != m_targets.end()) {
        it->second.load.onReport(report, now);
    }
}

void LeastLoadedPolicy::onEnded(const TargetId &target, const RouteName &, SendOutcome,
                                microseconds, bool, MonotonicTime)
{
    const auto it = m_targets.find(target);
    if (it != m_targets.end()) {
        it->second.load.onEnded();
    }
}

} // namespace Tarragon
