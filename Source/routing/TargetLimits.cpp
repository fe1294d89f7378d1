#include "routing/TargetLimits.h"

#include <algorithm>

namespace Tarragon {

namespace {

/// Whether a rate restricts more than another one; no rate does not restrict at all.
bool isStricter(const std::optional<RequestRate> &a, const std::optional<RequestRate> &b)
{
    return a.has_value() && (!b.has_value() || *a < *b);
}

} // namespace

void TargetLimits::apply(Knowledge &knowledge, const TargetLimit &limit, MonotonicTime now)
{
    knowledge.isChangeReported = knowledge.isChangeReported && knowledge.limit.rate == limit.rate;
    knowledge.limit = limit;
    knowledge.changedAt = now;
}

void TargetLimits::onStated(const TargetId &target, std::optional<RequestRate> rate,
                            MonotonicTime now)
{
    const auto it = m_targets.find(target);
    if (it == m_targets.end() && !rate.has_value()) {
        return;
    }
    Knowledge &knowledge = it == m_targets.end() ? m_targets[target] : it->second;
    knowledge.heardAt = now;
    if (knowledge.limit.rate != rate) {
        apply(knowledge, TargetLimit{ rate, knowledge.limit.version.next() }, now);
    }
}

void TargetLimits::merge(const TargetId &target, const TargetLimit &limit, MonotonicTime now)
{
    if (limit.version == LimitVersion()) {
        return;
    }
    Knowledge &knowledge = m_targets[target];
    knowledge.heardAt = now;
    // Entries that observe different limits at the same time give them the same version.
    const bool isNewer = limit.version > knowledge.limit.version
                         || (limit.version == knowledge.limit.version
                             && isStricter(limit.rate, knowledge.limit.rate));
    if (isNewer) {
        apply(knowledge, limit, now);
    }
}

TargetLimit TargetLimits::find(const TargetId &target) const
{
    const auto it = m_targets.find(target);
    return it == m_targets.end() ? TargetLimit{} : it->second.limit;
}

void TargetLimits::setExhaustedUntil(const TargetId &target, MonotonicTime time)
{
    Knowledge &knowledge = m_targets[target];
    knowledge.exhaustedUntil = time;
    knowledge.heardAt = std::max(knowledge.heardAt, time);
}

MonotonicTime TargetLimits::exhaustedUntil(const TargetId &target) const
{
    const auto it = m_targets.find(target);
    return it == m_targets.end() ? MonotonicTime() : it->second.exhaustedUntil;
}

std::size_t TargetLimits::limitedCount() const
{
    return static_cast<std::size_t>(
            std::count_if(m_targets.begin(), m_targets.end(),
                          [](const auto &it) { return it.second.limit.rate.has_value(); }));
}

std::vector<TargetLimitChange> TargetLimits::takeChanges()
{
    std::vector<TargetLimitChange> changes;
    for (auto &[target, knowledge] : m_targets) {
        if (!knowledge.isChangeReported) {
            changes.push_back(TargetLimitChange{ target, knowledge.limit });
            knowledge.isChangeReported = true;
        }
    }
    return changes;
}

std::vector<TargetLimitChange> TargetLimits::recentChanges(MonotonicTime now) const
{
    std::vector<std::pair<MonotonicTime, TargetLimitChange>> recent;
    for (const auto &[target, knowledge] : m_targets) {
        const bool hasLimit = knowledge.limit.version != LimitVersion();
        if (hasLimit && now - knowledge.changedAt < GossipTime) {
            recent.emplace_back(knowledge.changedAt, TargetLimitChange{ target, knowledge.limit });
        }
    }
    std::stable_sort(recent.begin(), recent.end(),
                     [](const auto &a, const auto &b) { return a.first > b.first; });
    recent.resize(std::min(recent.size(), MaxGossiped));
    std::vector<TargetLimitChange> changes;
    changes.reserve(recent.size());
    for (const auto &[changedAt, change] : recent) {
        changes.push_back(change);
    }
    return changes;
}

void TargetLimits::removeUnused(MonotonicTime now)
{
    std::erase_if(m_targets,
                  [now](const auto &it) { return now - it.second.heardAt >= Retention; });
}

} // namespace Tarragon
