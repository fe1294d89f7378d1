#include "steering/ShiftLimits.h"

#include "steering/WeightMoves.h"

#include <algorithm>
#include <cmath>

namespace Tarragon {

namespace {

/// Allowance for rounding errors of the computed moves, far below one part per million.
constexpr double Tolerance = 1e-9;

/// Parts per million added before rounding down, so that an integral amount with a floating point
/// error does not lose its last part.
constexpr double RoundingGuard = 1e-6;

/// Bisections to find the largest allowed step; the result is within 0.4% of it.
constexpr int MaxBisections = 8;

/// Maximum halvings of a step until it is allowed. After these it is below one part per million of
/// the row, and no step is made.
constexpr int MaxHalvings = 20;

/// A planned move of a share between two regions.
struct Move
{
    RegionId from;
    RegionId to;
    double partsPerMillion = 0;
};

/// Splits the change from one row to another into moves: each region whose share grows receives
/// from each region whose share shrinks, in proportion to both changes.
std::vector<Move> movesBetween(const WeightRow &current, const WeightRow &goal)
{
    std::vector<Move> losing;
    std::vector<Move> gaining;
    double total = 0;
    WeightRow all = current;
    all.insert(goal.begin(), goal.end());
    for (const auto &[region, unused] : all) {
        const auto change = static_cast<double>(shareOf(goal, region).partsPerMillion
                                                - shareOf(current, region).partsPerMillion);
        if (change < 0) {
            losing.push_back({ region, {}, -change });
        } else if (change > 0) {
            gaining.push_back({ {}, region, change });
            total += change;
        }
    }
    std::vector<Move> moves;
    for (const Move &from : losing) {
        for (const Move &to : gaining) {
            moves.push_back(
                    { from.from, to.to, from.partsPerMillion * to.partsPerMillion / total });
        }
    }
    return moves;
}

WeightRow withMoves(const WeightRow &current, const std::vector<Move> &moves, double scale)
{
    WeightRow row = current;
    for (const Move &it : moves) {
        const auto amount =
                static_cast<std::int64_t>(std::floor(it.partsPerMillion * scale + RoundingGuard));
        row[it.from].partsPerMillion -= amount;
        row[it.to].partsPerMillion += amount;
    }
    std::erase_if(row, [](const auto &it) { return it.second.partsPerMillion == 0; });
    return row;
}

} // namespace

ShiftLimits::ShiftLimits(const Configuration &configuration, const ServiceId &service)
{
    const auto settings = configuration.services.find(service);
    const milliseconds ttl =
            settings == configuration.services.end() ? milliseconds(0) : settings->second.lookupTtl;
    for (const ShiftCap &it : configuration.shifts) {
        if (it.service == service) {
            m_limits.push_back({ it.from, it.to, it.sharePerPeriod.ratio(), it.period + ttl });
            m_maxWindow = std::max(m_maxWindow, m_limits.back().window);
        }
    }
}

bool ShiftLimits::forbids(const RegionId &from, const RegionId &to) const
{
    return std::any_of(m_limits.begin(), m_limits.end(), [&](const Limit &it) {
        return it.from == from && it.to == to && it.share <= 0;
    });
}

bool ShiftLimits::allows(const std::vector<PastRow> &past, const WeightRow &next) const
{
    if (m_limits.empty()) {
        return true;
    }
    // The rows are converted to vectors once for all limits, for speed.
    WeightRow all = next;
    for (const PastRow &it : past) {
        all.insert(it.row.begin(), it.row.end());
    }
    const auto toVector = [&](const WeightRow &row) {
        std::vector<double> shares;
        shares.reserve(all.size());
        for (const auto &[region, unused] : all) {
            shares.push_back(shareOf(row, region).ratio());
        }
        return shares;
    };
    const std::vector<double> after = toVector(next);
    std::vector<std::vector<double>> before;
    before.reserve(past.size());
    for (const PastRow &it : past) {
        before.push_back(toVector(it.row));
    }
    return std::all_of(m_limits.begin(), m_limits.end(), [&](const Limit &limit) {
        const auto from = all.find(limit.from);
        const auto to = all.find(limit.to);
        if (from == all.end() || to == all.end()) {
            return true;
        }
        const auto fromIndex = static_cast<std::size_t>(std::distance(all.begin(), from));
        const auto toIndex = static_cast<std::size_t>(std::distance(all.begin(), to));
        for (std::size_t i = 0; i < past.size(); ++i) {
            if (past[i].age < limit.window
                && movedShare(before[i], after, fromIndex, toIndex) > limit.share + Tolerance) {
                return false;
            }
        }
        return true;
    });
}

double ShiftLimits::remainingShare(const RegionId &from, const RegionId &to,
                                   const WeightRow &current, const std::vector<PastRow> &past) const
{
    double share = 1;
    for (const Limit &limit : m_limits) {
        if (limit.from != from || limit.to != to) {
            continue;
        }
        share = std::min(share, limit.share);
        for (const PastRow &it : past) {
            if (it.age < limit.window && share > 0) {
                share = std::min(share, limit.share - movedShare(it.row, current, from, to));
            }
        }
    }
    return std::max(share, 0.0);
}

WeightRow ShiftLimits::step(const WeightRow &current, const WeightRow &goal,
                            const std::vector<PastRow> &past) const
{
    if (current == goal || allows(past, goal)) {
        return goal;
    }
    std::vector<Move> moves = movesBetween(current, goal);
    for (Move &it : moves) {
        const double limit = remainingShare(it.from, it.to, current, past) * 1e6;
        it.partsPerMillion = std::min(it.partsPerMillion, limit);
    }
    const bool isExhausted = std::all_of(moves.begin(), moves.end(), [](const Move &it) {
        return it.partsPerMillion + RoundingGuard < 1;
    });
    if (isExhausted) {
        return current;
    }
    double failed = 1;
    double scale = 1;
    WeightRow best = withMoves(current, moves, scale);
    for (int i = 0; !allows(past, best); ++i) {
        if (i == MaxHalvings) {
            return current;
        }
        failed = scale;
        scale /= 2;
        best = withMoves(current, moves, scale);
    }
    for (int i = 0; i < MaxBisections && failed > scale; ++i) {
        const double middle = (scale + failed) / 2;
        const WeightRow row = withMoves(current, moves, middle);
        if (allows(past, row)) {
            scale = middle;
            best = row;
        } else {
            failed = middle;
        }
    }
    return best;
}

} // namespace Tarragon
