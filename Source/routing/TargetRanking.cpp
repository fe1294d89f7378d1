#include "routing/TargetRanking.h"

#include <set>

namespace Tarragon {

TargetRanking::TargetRanking(const EntryLocality &locality)
    : m_localDomain(locality.domain)
    , m_regions{ locality.region }
    , m_weights{ 0 }
    , m_allowed{ false }
{
    std::set<RegionId> regions;
    for (const auto &[domain, region] : locality.regionOfDomain) {
        regions.insert(region);
    }
    m_callerRegions.assign(regions.begin(), regions.end());
}

void TargetRanking::setTargets(const std::vector<RankingTarget> &targets)
{
    m_regions.resize(1);
    m_groups.clear();
    m_factors.clear();
    std::map<std::pair<std::size_t, bool>, std::vector<Item>> groups;
    for (std::size_t i = 0; i < targets.size(); ++i) {
        const RankingTarget &target = targets[i];
        const double weight = std::max(target.slots.value, 1);
        groups[{ indexOf(target.region), target.domain == m_localDomain }].push_back(
                { target.hash, weight, i });
    }
    m_weights.assign(m_regions.size(), 0);
    m_allowed.assign(m_regions.size(), false);
    for (auto &[key, items] : groups) {
        for (const Item &it : items) {
            m_weights[key.first] += it.weight;
        }
        m_groups.push_back({ key.first, key.second, std::move(items) });
    }
}

void TargetRanking::insert(const Scored &scored, std::size_t count)
{
    if (m_best.size() >= count) {
        m_best.pop_back();
    }
    const auto isBefore = [](const Scored &a, const Scored &b) { return a.score < b.score; };
    m_best.insert(std::upper_bound(m_best.begin(), m_best.end(), scored, isBefore), scored);
}

bool TargetRanking::appendBest(std::size_t region)
{
    bool isInRegion = false;
    for (const Scored &it : m_best) {
        m_selected.push_back(it.position);
        isInRegion = isInRegion || it.region == region;
    }
    return isInRegion;
}

std::size_t TargetRanking::preferredRegion(std::uint64_t key)
{
    const Factors &ofRegions = factors();
    if (std::count(ofRegions.begin(), ofRegions.end(), 0.0) + 1
        >= static_cast<std::ptrdiff_t>(ofRegions.size())) {
        const auto only = std::max_element(ofRegions.begin(), ofRegions.end());
        return static_cast<std::size_t>(only - ofRegions.begin());
    }
    std::size_t best = LocalRegion;
    double bestScore = std::numeric_limits<double>::infinity();
    for (const Group &group : m_groups) {
        const double factor = ofRegions[group.region];
        if (factor <= 0) {
            continue;
        }
        for (const Item &it : group.items) {
            const double unit = rendezvousUnit(key, it.hash);
            if (!mayScoreBelow(bestScore, unit, it.weight * factor)) {
                continue;
            }
            const double score = rendezvousScore(unit, it.weight * factor);
            if (score < bestScore) {
                bestScore = score;
                best = group.region;
            }
        }
    }
    return best;
}

const TargetRanking::Factors &TargetRanking::factors()
{
    const auto [it, isNew] = m_factors.try_emplace(m_allowed, Factors(m_regions.size(), 0));
    if (isNew) {
        RegionSlots slots;
        for (std::size_t i = 0; i < m_regions.size(); ++i) {
            if (m_allowed[i] && m_weights[i] > 0) {
                slots[m_regions[i]] = m_weights[i];
            }
        }
        for (const auto &[region, share] :
             regionShares(slots, m_callerRegions, m_regions[LocalRegion])) {
            const std::size_t index = indexOf(region);
            it->second[index] = share / m_weights[index];
        }
    }
    return it->second;
}

std::size_t TargetRanking::indexOf(const RegionId &region)
{
    const auto it = std::find(m_regions.begin(), m_regions.end(), region);
    const auto index = static_cast<std::size_t>(it - m_regions.begin());
    if (it == m_regions.end()) {
        m_regions.push_back(region);
    }
    return index;
}

} // namespace Tarragon
