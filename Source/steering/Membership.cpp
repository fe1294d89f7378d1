#include "steering/Membership.h"

#include "base/Digest.h"

#include <algorithm>
#include <functional>

namespace Tarragon {

Membership::Membership(const MembershipOptions &options)
    : m_options(options)
{}

void Membership::setMembers(const Configuration &configuration, MonotonicTime now)
{
    Members entries;
    Members targets;
    const auto keep = [now](Members &from, Members &to, const std::string &id,
                            const FailureDomainId &domain) {
        const auto known = from.find(id);
        Member &member = to[id];
        if (known != from.end()) {
            member = std::move(known->second);
        } else {
            member.lastReachedAt = now;
        }
        member.domain = domain;
    };
    for (const auto &[id, domain] : configuration.topology.domains) {
        for (const EntrySeat &it : domain.entries) {
            keep(m_entries, entries, it.id.value(), id);
        }
    }
    for (const auto &[id, service] : configuration.services) {
        for (const Target &it : service.targets) {
            keep(m_targets, targets, it.id.value(), it.domain);
        }
    }
    m_entries = std::move(entries);
    m_targets = std::move(targets);
}

void Membership::onList(const std::vector<ListedInstance> &list, MonotonicTime now)
{
    std::map<std::string_view, const ListedInstance *> byId;
    for (const ListedInstance &it : list) {
        byId[it.id] = &it;
    }
    for (Members *members : { &m_entries, &m_targets }) {
        for (auto &[id, member] : *members) {
            const auto found = byId.find(id);
            if (found != byId.end()) {
                applyListedInstance(member, members == &m_entries, *found->second, now);
                continue;
            }
            if (!member.absentSince) {
                member.absentSince = now;
            }
            member.listed = false;
            member.listedLeaving = false;
            member.returnedAt.reset();
        }
    }
    markMassDisappearances(now);
}

void Membership::applyListedInstance(Member &member, bool isEntry, const ListedInstance &listed,
                                     MonotonicTime now)
{
    const bool wasAbsent = member.absentSince.has_value() && !member.vanishedWithDomain;
    if (listed.leaving) {
        // The list lags: if it already reported "leaving" before, this may refer to the predecessor
        // of the incarnation whose heartbeats arrive now. Only the first such list is applied.
        if (!member.listedLeaving) {
            if (isEntry && member.incarnation) {
                member.leavingIncarnations.insert(*member.incarnation);
            } else {
                member.leaving = true;
            }
        }
        member.returnedAt.reset();
    } else if (member.leaving) {
        if (!member.returnedAt) {
            member.returnedAt = now;
        }
        if (wasAbsent || now - *member.returnedAt >= m_options.returnConfirmationTime) {
            member.leaving = false;
            member.returnedAt.reset();
        }
    }
    member.listed = true;
    member.listedLeaving = listed.leaving;
    member.absentSince.reset();
    member.vanishedWithDomain = false;
}

/// Marks the members that vanished within the mass disappearance window, in domains of which more
/// than half of the members have vanished.
void Membership::markMassDisappearances(MonotonicTime now)
{
    struct Count
    {
        int before = 0;
        int vanished = 0;
    };
    std::map<FailureDomainId, Count> counts;
    const auto vanishedNow = [&](const Member &it) {
        return it.absentSince && now - *it.absentSince < m_options.massDisappearanceWindow;
    };
    for (const Members *members : { &m_entries, &m_targets }) {
        for (const auto &[id, member] : *members) {
            Count &count = counts[member.domain];
            const bool vanished = vanishedNow(member);
            count.before += member.listed || vanished || member.vanishedWithDomain ? 1 : 0;
            count.vanished += vanished || member.vanishedWithDomain ? 1 : 0;
        }
    }
    for (Members *members : { &m_entries, &m_targets }) {
        for (auto &[id, member] : *members) {
            const Count &count = counts[member.domain];
            if (vanishedNow(member) && 2 * count.vanished > count.before) {
                member.vanishedWithDomain = true;
            }
        }
    }
}

void Membership::onHeartbeat(const InstanceId &entry, Incarnation incarnation, bool leaving,
                             MonotonicTime now)
{
    const auto found = m_entries.find(entry.value());
    if (found == m_entries.end()) {
        return;
    }
    Member &member = found->second;
    if (member.incarnation && *member.incarnation != incarnation) {
        if (member.replacedIncarnation == incarnation && now < member.ignoreReplacedUntil) {
            return;
        }
        member.replacedIncarnation = *member.incarnation;
        member.ignoreReplacedUntil = now + m_options.replacedIncarnationTime;
    }
    member.incarnation = incarnation;
    member.leaving = false;
    member.lastReachedAt = now;
    if (leaving) {
        member.leavingIncarnations.insert(incarnation);
    }
}

void Membership::onTargetReached(const TargetId &target, MonotonicTime now)
{
    const auto found = m_targets.find(target.value());
    if (found != m_targets.end()) {
        found->second.lastReachedAt = now;
    }
}

MemberState Membership::state(const InstanceId &entry, MonotonicTime now) const
{
    const auto found = m_entries.find(entry.value());
    if (found == m_entries.end()) {
        return MemberState::Gone;
    }
    const Member &member = found->second;
    return departureState(member, now)
            .value_or(isResponsive(member, now) ? MemberState::Live : MemberState::Suspect);
}

MemberState Membership::state(const TargetId &target, MonotonicTime now) const
{
    const auto found = m_targets.find(target.value());
    if (found == m_targets.end()) {
        return MemberState::Gone;
    }
    // A target that gets no requests sends no responses, so missing responses alone do not make it
    // Suspect.
    return departureState(found->second, now).value_or(MemberState::Live);
}

std::optional<MemberState> Membership::departureState(const Member &member, MonotonicTime now) const
{
    if (!isResponsive(member, now) && isUnlisted(member, now)) {
        return MemberState::Gone;
    }
    if (isLeaving(member)) {
        return MemberState::Leaving;
    }
    return std::nullopt;
}

std::optional<Incarnation> Membership::incarnation(const InstanceId &entry) const
{
    const auto found = m_entries.find(entry.value());
    return found == m_entries.end() ? std::nullopt : found->second.incarnation;
}

bool Membership::hasResponsiveEntry(const FailureDomainId &domain, MonotonicTime now) const
{
    return std::any_of(m_entries.begin(), m_entries.end(), [&](const auto &it) {
        return it.second.domain == domain && isResponsive(it.second, now);
    });
}

std::vector<InstanceId> Membership::ranked(const FailureDomainId &domain, std::string_view purpose,
                                           MonotonicTime now) const
{
    std::vector<std::pair<std::uint64_t, InstanceId>> order;
    const std::uint64_t seed = stableHash(purpose);
    for (const auto &[id, member] : m_entries) {
        const InstanceId entry(id);
        if (member.domain == domain && state(entry, now) == MemberState::Live) {
            order.emplace_back(stableHash(id, seed), entry);
        }
    }
    std::sort(order.begin(), order.end(), std::greater<>());
    std::vector<InstanceId> result;
    result.reserve(order.size());
    for (const auto &[hash, entry] : order) {
        result.push_back(entry);
    }
    return result;
}

bool Membership::isResponsive(const Member &member, MonotonicTime now) const
{
    return now - member.lastReachedAt <= m_options.silence;
}

bool Membership::isUnlisted(const Member &member, MonotonicTime now) const
{
    return member.absentSince && !member.vanishedWithDomain
           && now - *member.absentSince >= m_options.listLag;
}

bool Membership::isLeaving(const Member &member)
{
    return member.leaving
           || (member.incarnation && member.leavingIncarnations.contains(*member.incarnation));
}

} // namespace Tarragon
