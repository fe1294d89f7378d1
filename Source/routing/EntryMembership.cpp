#include "routing/EntryMembership.h"

#include "base/Digest.h"
#include "steering/Rendezvous.h"

#include <algorithm>
#include <utility>

namespace Tarragon {

namespace {

/// Returns the rank of an entry for a key, equal at all entries; the lowest one is chosen.
std::uint64_t hashRank(std::uint64_t key, const InstanceId &instance)
{
    return rendezvousHash(key, stableHash(instance.value()));
}

} // namespace

EntryMembership::EntryMembership(EntryRecord localEntry, std::uint64_t seed,
                                 const EntryMembershipOptions &options)
    : m_localEntry(std::move(localEntry))
    , m_options(options)
    , m_random(seed)
{}

void EntryMembership::setRecords(const std::vector<EntryRecord> &records)
{
    std::map<InstanceId, Member> members;
    for (const EntryRecord &it : records) {
        if (it.instance == m_localEntry.instance) {
            continue;
        }
        Member member;
        const auto known = m_members.find(it.instance);
        if (known != m_members.end() && known->second.record.incarnation == it.incarnation) {
            member = known->second;
        }
        member.record = it;
        members.emplace(it.instance, std::move(member));
    }
    m_members = std::move(members);
    m_hasRecords = true;
}

std::vector<InstanceId> EntryMembership::beginGossipRound()
{
    ++m_heartbeat;
    std::vector<InstanceId> neighbours;
    std::vector<InstanceId> remoteEntries;
    for (const auto &[id, member] : m_members) {
        (member.record.domain == m_localEntry.domain ? neighbours : remoteEntries).push_back(id);
    }
    std::shuffle(neighbours.begin(), neighbours.end(), m_random);
    std::shuffle(remoteEntries.begin(), remoteEntries.end(), m_random);
    // Neighbours are contacted first; without neighbours, all contacts are remote entries.
    const double probability =
            m_options.crossDomainExchanges / static_cast<double>(neighbours.size() + 1);
    const bool contactsRemote = std::bernoulli_distribution(std::min(probability, 1.0))(m_random);
    const std::size_t neighbourCount = contactsRemote ? 1 : m_options.fanOut;
    std::vector<InstanceId> chosen(
            neighbours.begin(),
            neighbours.begin() + std::ptrdiff_t(std::min(neighbourCount, neighbours.size())));
    if (contactsRemote) {
        const std::size_t remoteCount =
                std::min(remoteEntries.size(), m_options.fanOut - chosen.size());
        chosen.insert(chosen.end(), remoteEntries.begin(),
                      remoteEntries.begin() + std::ptrdiff_t(remoteCount));
    }
    return chosen;
}

std::vector<GossipMemberState> EntryMembership::memberStates(MonotonicTime now) const
{
    std::vector<GossipMemberState> states{ GossipMemberState{
            m_localEntry.instance, m_localEntry.incarnation, m_heartbeat, m_isServing } };
    for (const auto &[id, member] : m_members) {
        if (member.lastHeartbeatAt.has_value()) {
            GossipMemberState state = member.state;
            state.age = std::chrono::duration_cast<milliseconds>(now - member.sentAt);
            states.push_back(std::move(state));
        }
    }
    return states;
}

void EntryMembership::merge(const std::vector<GossipMemberState> &states, MonotonicTime now)
{
    for (const GossipMemberState &it : states) {
        const auto found = m_members.find(it.instance);
        if (found == m_members.end()) {
            continue;
        }
        Member &member = found->second;
        // A restarted entry registers in the store before it gossips, so the incarnation in the
        // store identifies the current process; states of other incarnations are outdated.
        if (it.incarnation != member.record.incarnation) {
            continue;
        }
        if (member.lastHeartbeatAt.has_value() && it.heartbeat <= member.state.heartbeat) {
            continue;
        }
        const bool isConfirmed = member.isReturning || isRecent(member, it, now);
        member.isReturning = !isConfirmed;
        member.state = it;
        member.sentAt = now - it.age;
        member.lastHeartbeatAt = isConfirmed ? now : now - m_options.heartbeatTimeout;
    }
}

bool EntryMembership::isRecent(const Member &member, const GossipMemberState &state,
                               MonotonicTime now) const
{
    // The last heartbeat of an entry that has failed may arrive long after the failure: from an
    // entry that was cut off meanwhile, or because its registration has only just arrived. Only an
    // entry that is running sends another one.
    if (!member.lastHeartbeatAt.has_value()) {
        return state.age < m_options.heartbeatTimeout;
    }
    return now - *member.lastHeartbeatAt < m_options.heartbeatTimeout + ConfirmationDelay;
}

std::vector<EntryRecord> EntryMembership::servingEntries(const RegionId &region,
                                                         MonotonicTime now) const
{
    std::vector<EntryRecord> entries;
    if (m_isServing && m_localEntry.region == region) {
        entries.push_back(m_localEntry);
    }
    for (const auto &[id, member] : m_members) {
        if (member.record.region == region && member.state.isServing && isLive(member, now)) {
            entries.push_back(member.record);
        }
    }
    return entries;
}

std::size_t EntryMembership::liveCount(MonotonicTime now) const
{
    return 1
           + static_cast<std::size_t>(
                   std::count_if(m_members.begin(), m_members.end(),
                                 [this, now](const auto &it) { return isLive(it.second, now); }));
}

std::vector<InstanceId> EntryMembership::watchers(std::size_t count, MonotonicTime now) const
{
    std::vector<std::pair<std::uint64_t, InstanceId>> ranked;
    ranked.emplace_back(stableHash(m_localEntry.instance.value()), m_localEntry.instance);
    for (const auto &[id, member] : m_members) {
        const bool hasTimedOut = member.lastHeartbeatAt.has_value() && !isLive(member, now);
        if (member.record.domain == m_localEntry.domain && !hasTimedOut) {
            ranked.emplace_back(stableHash(id.value()), id);
        }
    }
    std::sort(ranked.begin(), ranked.end());
    ranked.resize(std::min(ranked.size(), count));
    std::vector<InstanceId> watchers;
    watchers.reserve(ranked.size());
    for (const auto &[rank, id] : ranked) {
        watchers.push_back(id);
    }
    return watchers;
}

template<typename RankOf>
std::optional<InstanceId> EntryMembership::firstServingEntry(const RankOf &rankOf,
                                                             MonotonicTime now,
                                                             bool includesUnknown) const
{
    if (!m_hasRecords) {
        return std::nullopt;
    }
    std::optional<InstanceId> first;
    EntryRank best;
    const auto consider = [&](const EntryRecord &it) {
        const std::optional<EntryRank> rank = rankOf(it);
        if (rank.has_value() && (!first.has_value() || *rank < best)) {
            first = it.instance;
            best = *rank;
        }
    };
    if (m_isServing) {
        consider(m_localEntry);
    }
    for (const auto &[id, member] : m_members) {
        const bool isUnknown = includesUnknown && !member.lastHeartbeatAt.has_value();
        if (isUnknown || (member.state.isServing && isLive(member, now))) {
            consider(member.record);
        }
    }
    return first;
}

std::optional<InstanceId> EntryMembership::permitIssuer(PermitKind kind, const TargetId &target,
                                                        const FailureDomainId &domain,
                                                        MonotonicTime now) const
{
    const std::uint64_t key = stableHash(target.value());
    return firstServingEntry(
            [kind, &domain, key](const EntryRecord &it) -> std::optional<EntryRank> {
                if (!(kind == PermitKind::ColdRate ? it.issuesColdPermits : it.issuesPermits)) {
                    return std::nullopt;
                }
                return EntryRank(it.domain != domain, hashRank(key, it.instance));
            },
            now);
}

std::optional<InstanceId> EntryMembership::trialIssuer(const ServiceId &service,
                                                       MonotonicTime now) const
{
    const std::uint64_t key = stableHash(service.value());
    return firstServingEntry(
            [key](const EntryRecord &it) -> std::optional<EntryRank> {
                if (!it.issuesTrials) {
                    return std::nullopt;
                }
                return EntryRank(false, hashRank(key, it.instance));
            },
            now);
}

std::optional<InstanceId> EntryMembership::usageIssuer(const WorkspaceName &workspace,
                                                       MonotonicTime now) const
{
    return firstUsageEntry(workspace, now, false);
}

std::optional<InstanceId> EntryMembership::probableUsageIssuer(const WorkspaceName &workspace,
                                                               MonotonicTime now) const
{
    return firstUsageEntry(workspace, now, usageFraction(now) < 1);
}

bool EntryMembership::precedes(const InstanceId &first, const InstanceId &second,
                               const WorkspaceName &workspace)
{
    const std::uint64_t key = stableHash(workspace.value());
    return hashRank(key, first) < hashRank(key, second);
}

std::set<InstanceId> EntryMembership::usageEntries(MonotonicTime now) const
{
    std::set<InstanceId> entries;
    for (const auto &[id, member] : m_members) {
        if (member.record.issuesUsage && member.state.isServing && isLive(member, now)) {
            entries.insert(id);
        }
    }
    return entries;
}

bool EntryMembership::startedWithOthers(MonotonicTime now) const
{
    return std::all_of(m_members.begin(), m_members.end(), [this, now](const auto &it) {
        return !isLive(it.second, now)
               || it.second.state.heartbeat <= m_heartbeat + FleetStartRounds;
    });
}

std::optional<InstanceId> EntryMembership::firstUsageEntry(const WorkspaceName &workspace,
                                                           MonotonicTime now,
                                                           bool includesUnknown) const
{
    const std::uint64_t key = stableHash(workspace.value());
    return firstServingEntry(
            [key](const EntryRecord &it) -> std::optional<EntryRank> {
                if (!it.issuesUsage) {
                    return std::nullopt;
                }
                return EntryRank(false, hashRank(key, it.instance));
            },
            now, includesUnknown);
}

std::vector<InstanceId> EntryMembership::newsRecipients(bool isOwnNews, MonotonicTime now) const
{
    std::vector<InstanceId> recipients;
    std::map<FailureDomainId, std::vector<std::pair<std::uint64_t, InstanceId>>> others;
    for (const auto &[id, member] : m_members) {
        if (!isLive(member, now)) {
            continue;
        }
        if (member.record.domain == m_localEntry.domain) {
            recipients.push_back(id);
        } else if (isOwnNews) {
            others[member.record.domain].emplace_back(stableHash(id.value()), id);
        }
    }
    for (auto &[domain, ranked] : others) {
        const std::size_t count = std::min(ranked.size(), NewsRelaysPerDomain);
        std::partial_sort(ranked.begin(), ranked.begin() + static_cast<std::ptrdiff_t>(count),
                          ranked.end());
        for (std::size_t i = 0; i < count; ++i) {
            recipients.push_back(ranked[i].second);
        }
    }
    return recipients;
}

bool EntryMembership::isInLocalDomain(const InstanceId &instance) const
{
    const auto it = m_members.find(instance);
    return it != m_members.end() && it->second.record.domain == m_localEntry.domain;
}

double EntryMembership::issuableFraction(MonotonicTime now) const
{
    const std::size_t live = liveCount(now);
    if (live * 2 > entryCount()) {
        return 1;
    }
    return static_cast<double>(live) / static_cast<double>(entryCount()) / 2;
}

double EntryMembership::usageFraction(MonotonicTime now) const
{
    const std::size_t live = liveCount(now);
    const double proportion = static_cast<double>(live) / static_cast<double>(entryCount());
    return live * 2 > entryCount() ? 1 : MinorityUsage * proportion;
}

double EntryMembership::coldPermitFraction() const
{
    const std::ptrdiff_t others =
            std::count_if(m_members.begin(), m_members.end(),
                          [](const auto &it) { return it.second.record.issuesColdPermits; });
    const std::ptrdiff_t local = m_localEntry.issuesColdPermits ? 1 : 0;
    return static_cast<double>(others + local) / static_cast<double>(entryCount());
}

bool EntryMembership::hasDifferingCapacities() const
{
    const std::optional<Cores> local = m_localEntry.capacity;
    const bool areAllStated =
            local.has_value()
            && std::all_of(m_members.begin(), m_members.end(),
                           [](const auto &it) { return it.second.record.capacity.has_value(); });
    return areAllStated
           && std::any_of(m_members.begin(), m_members.end(),
                          [&local](const auto &it) { return it.second.record.capacity != local; });
}

std::size_t EntryMembership::domainEntryCount() const
{
    return 1
           + static_cast<std::size_t>(
                   std::count_if(m_members.begin(), m_members.end(), [this](const auto &it) {
                       return it.second.record.domain == m_localEntry.domain;
                   }));
}

bool EntryMembership::isLive(const InstanceId &instance, MonotonicTime now) const
{
    const auto it = m_members.find(instance);
    return instance == m_localEntry.instance || (it != m_members.end() && isLive(it->second, now));
}

bool EntryMembership::isLive(const Member &member, MonotonicTime now) const
{
    return member.lastHeartbeatAt.has_value()
           && now - *member.lastHeartbeatAt < m_options.heartbeatTimeout;
}

std::vector<EntryRecord> EntryMembership::otherEntries() const
{
    std::vector<EntryRecord> records;
    for (const auto &[id, member] : m_members) {
        records.push_back(member.record);
    }
    return records;
}

} // namespace Tarragon
