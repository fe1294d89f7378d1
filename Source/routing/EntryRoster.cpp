#include "routing/EntryRoster.h"

#include "base/Digest.h"

#include <algorithm>
#include <utility>

namespace Tarragon {

EntryRoster::EntryRoster(EntryRecord self, std::uint64_t seed, const EntryRosterOptions &options)
    : m_self(std::move(self))
    , m_options(options)
    , m_random(seed)
{}

void EntryRoster::setRecords(const std::vector<EntryRecord> &records)
{
    std::map<InstanceId, Member> members;
    for (const EntryRecord &it : records) {
        if (it.instance == m_self.instance) {
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
}

std::vector<InstanceId> EntryRoster::beginRound()
{
    ++m_beat;
    std::vector<InstanceId> neighbours;
    std::vector<InstanceId> strangers;
    for (const auto &[id, member] : m_members) {
        (member.record.domain == m_self.domain ? neighbours : strangers).push_back(id);
    }
    std::shuffle(neighbours.begin(), neighbours.end(), m_random);
    std::shuffle(strangers.begin(), strangers.end(), m_random);
    // One of the own domain comes first; where there is none, all are of others.
    const double share = m_options.domainExchanges / static_cast<double>(neighbours.size() + 1);
    const bool goesFar = std::bernoulli_distribution(std::min(share, 1.0))(m_random);
    const std::size_t near = goesFar ? 1 : m_options.fanOut;
    std::vector<InstanceId> chosen(neighbours.begin(),
                                   neighbours.begin()
                                           + std::ptrdiff_t(std::min(near, neighbours.size())));
    if (goesFar) {
        const std::size_t far = std::min(strangers.size(), m_options.fanOut - chosen.size());
        chosen.insert(chosen.end(), strangers.begin(), strangers.begin() + std::ptrdiff_t(far));
    }
    return chosen;
}

std::vector<RosterItem> EntryRoster::items() const
{
    std::vector<RosterItem> items{ RosterItem{ m_self.instance, m_self.incarnation, m_beat,
                                               m_isServing } };
    for (const auto &[id, member] : m_members) {
        if (member.risenAt.has_value()) {
            items.push_back(member.item);
        }
    }
    return items;
}

void EntryRoster::merge(const std::vector<RosterItem> &items, MonotonicTime now)
{
    for (const RosterItem &it : items) {
        const auto found = m_members.find(it.instance);
        if (found == m_members.end()) {
            continue;
        }
        Member &member = found->second;
        // An entry that has started again registers before it talks to others, so that the store's
        // record tells which of two runs is the newer one.
        if (it.incarnation != member.record.incarnation) {
            continue;
        }
        const bool isNews = !member.risenAt.has_value() || it.beat > member.item.beat;
        if (isNews) {
            member.item = it;
            member.risenAt = now;
        }
    }
}

std::vector<EntryRecord> EntryRoster::serving(const RegionId &region, MonotonicTime now) const
{
    std::vector<EntryRecord> entries;
    if (m_isServing && m_self.region == region) {
        entries.push_back(m_self);
    }
    for (const auto &[id, member] : m_members) {
        if (member.record.region == region && member.item.isServing && isLive(member, now)) {
            entries.push_back(member.record);
        }
    }
    return entries;
}

std::size_t EntryRoster::liveCount(MonotonicTime now) const
{
    return 1
           + static_cast<std::size_t>(
                   std::count_if(m_members.begin(), m_members.end(),
                                 [this, now](const auto &it) { return isLive(it.second, now); }));
}

std::vector<InstanceId> EntryRoster::watchers(std::size_t count, MonotonicTime now) const
{
    std::vector<std::pair<std::uint64_t, InstanceId>> ranked;
    ranked.emplace_back(stableHash(m_self.instance.value()), m_self.instance);
    for (const auto &[id, member] : m_members) {
        const bool isSilent = member.risenAt.has_value() && !isLive(member, now);
        if (member.record.domain == m_self.domain && !isSilent) {
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

std::size_t EntryRoster::domainSize() const
{
    return 1
           + static_cast<std::size_t>(
                   std::count_if(m_members.begin(), m_members.end(), [this](const auto &it) {
                       return it.second.record.domain == m_self.domain;
                   }));
}

bool EntryRoster::isLive(const InstanceId &instance, MonotonicTime now) const
{
    const auto it = m_members.find(instance);
    return instance == m_self.instance || (it != m_members.end() && isLive(it->second, now));
}

bool EntryRoster::isLive(const Member &member, MonotonicTime now) const
{
    return member.risenAt.has_value() && now - *member.risenAt < m_options.silence;
}

std::vector<EntryRecord> EntryRoster::others() const
{
    std::vector<EntryRecord> records;
    for (const auto &[id, member] : m_members) {
        records.push_back(member.record);
    }
    return records;
}

} // namespace Tarragon
