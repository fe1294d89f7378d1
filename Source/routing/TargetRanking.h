#pragma once

#include "base/Units.h"
#include "routing/EntryLocality.h"
#include "routing/RegionShares.h"
#include "steering/Rendezvous.h"

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <limits>
#include <map>
#include <span>
#include <vector>

namespace Tarragon {

/// What TargetRanking needs to know about a target.
struct RankingTarget
{
    /// Hash of the target's id, equal in all entries.
    std::uint64_t hash = 0;
    SlotCount slots;
    FailureDomainId domain;
    RegionId region;
};

/// Describes a request for which targets are selected.
struct RankingQuery
{
    /// Hash of the object, or of the request if it concerns no object.
    std::uint64_t key = 0;
    /// Number of targets to select.
    std::size_t count = 0;
    /// Whether targets near the entry come before those of the preferred region. One target of the
    /// preferred region is then selected in addition, as the nearest may be too few.
    bool prefersNear = false;
};

/// Orders the targets of a service for a request by weighted rendezvous hashing (Thaler and
/// Ravishankar 1998), with their slots as weights, so that a change of the targets moves few
/// objects.
///
/// The preferred region of an object is the one of its best target when the slots of each region
/// are scaled so that their sum is the region's share (regionShares()). Each region is thus chosen
/// with a probability equal to its share. As the region and the target follow from the same
/// scores, a target that joins takes objects from all regions whose shares fall, and few others
/// move; choosing the region by a hash of its own moves objects into the region that are not for
/// the new target, and others of the region to it.
///
/// The targets of an object are selected in one pass without sorting. Targets are referred to by
/// their position in the list of targets.
class TargetRanking
{
public:
    explicit TargetRanking(const EntryLocality &locality);

    /// Replaces the targets.
    void setTargets(const std::vector<RankingTarget> &targets);

    /// Selects the first targets of the request's order for which `isUsable` returns true, in the
    /// regions for which `isAllowed` does. The result is valid until the next call.
    template<typename IsAllowed, typename IsUsable>
    std::span<const std::size_t> select(const RankingQuery &query, const IsAllowed &isAllowed,
                                        const IsUsable &isUsable)
    {
        for (std::size_t i = 0; i < m_regions.size(); ++i) {
            m_allowed[i] = isAllowed(m_regions[i]);
        }
        const std::size_t preferred = preferredRegion(query.key);
        m_selected.clear();
        bool hasPreferred = false;
        for (int tier = 0; tier < TierCount && m_selected.size() < query.count; ++tier) {
            m_best.clear();
            for (const Group &group : m_groups) {
                if (m_allowed[group.region] && tierOf(group, preferred, query) == tier) {
                    scan(group, query.key, query.count - m_selected.size(), isUsable);
                }
            }
            hasPreferred = appendBest(preferred) || hasPreferred;
        }
        if (query.prefersNear && !hasPreferred) {
            m_best.clear();
            for (const Group &group : m_groups) {
                if (m_allowed[group.region] && group.region == preferred) {
                    scan(group, query.key, 1, isUsable);
                }
            }
            appendBest(preferred);
        }
        return m_selected;
    }

private:
    /// Number of different results of tierOf().
    static constexpr int TierCount = 3;

    struct Item
    {
        std::uint64_t hash = 0;
        double weight = 0;
        std::size_t position = 0;
    };
    /// Targets of the same region, either of the entry's failure domain or of all others.
    struct Group
    {
        /// Index in m_regions.
        std::size_t region = 0;
        bool isInLocalDomain = false;
        std::vector<Item> items;
    };
    struct Scored
    {
        double score = 0;
        std::size_t position = 0;
        std::size_t region = 0;
    };
    /// Factor of the weights in each region; 0 if the region has no share.
    using Factors = std::vector<double>;

    /// Returns how early the targets of the group are selected; 0 is first.
    int tierOf(const Group &group, std::size_t preferred, const RankingQuery &query) const
    {
        if (query.prefersNear ? group.isInLocalDomain : group.region == preferred) {
            return 0;
        }
        return group.region == LocalRegion ? 1 : 2;
    }
    /// Adds the usable targets of the group to the best ones, of which at most `count` are kept.
    template<typename IsUsable>
    void scan(const Group &group, std::uint64_t key, std::size_t count, const IsUsable &isUsable)
    {
        for (const Item &it : group.items) {
            const double limit = m_best.size() < count ? std::numeric_limits<double>::infinity()
                                                       : m_best.back().score;
            const double unit = rendezvousUnit(key, it.hash);
            if (!mayScoreBelow(limit, unit, it.weight)) {
                continue;
            }
            const double score = rendezvousScore(unit, it.weight);
            if (score < limit && isUsable(it.position)) {
                insert({ score, it.position, group.region }, count);
            }
        }
    }
    /// Whether the score may be below the limit. The logarithm, which takes most of the time, is
    /// only needed then: -ln(unit) is at least 1 - unit.
    static bool mayScoreBelow(double limit, double unit, double weight)
    {
        return 1 - unit < limit * weight;
    }
    void insert(const Scored &scored, std::size_t count);
    /// Moves the best targets to the selected ones. Returns whether one is in the region.
    bool appendBest(std::size_t region);
    /// Returns the preferred region among the allowed ones, as an index.
    std::size_t preferredRegion(std::uint64_t key);
    /// Returns the factors of the allowed regions.
    const Factors &factors();
    std::size_t indexOf(const RegionId &region);

    /// Index of the entry's own region.
    static constexpr std::size_t LocalRegion = 0;

    FailureDomainId m_localDomain;
    /// Regions with entries, from which requests come.
    std::vector<RegionId> m_callerRegions;
    /// The entry's own region and all that have targets.
    std::vector<RegionId> m_regions;
    /// Sum of the weights in each region.
    std::vector<double> m_weights;
    std::vector<Group> m_groups;
    /// Factors for each set of allowed regions that has occurred, since few occur.
    std::map<std::vector<bool>, Factors> m_factors;
    /// Working memory of select(), kept so that it allocates nothing.
    std::vector<bool> m_allowed;
    std::vector<Scored> m_best;
    std::vector<std::size_t> m_selected;
};

} // namespace Tarragon
