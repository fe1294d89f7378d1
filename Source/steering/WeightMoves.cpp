#include "steering/WeightMoves.h"

#include <algorithm>
#include <limits>

namespace Tarragon {

// A caller's score for candidate k is X_k / w_k. X_k is exponentially distributed with rate 1 and
// is the same before and after the change of the weights w_k. Let X_from = x and X_to = t x. "from"
// has the lowest score before the change if X_k >= x a_k for all k, and "to" has it after the
// change if X_k >= x t b_k for all k, with a_k = before_k / before_from and b_k = after_k /
// after_to. The probability of both is the integral over t of 1 / S(t)^2 with S(t) = sum of
// max(a_k, t b_k), for t between a_to and 1 / b_from. S is linear between the points a_k / b_k, and
// between two neighbouring points u and v the integral is (v - u) / (S(u) S(v)).
double movedShare(const std::vector<double> &before, const std::vector<double> &after,
                  std::size_t from, std::size_t to)
{
    if (from == to || before[from] <= 0 || after[to] <= 0) {
        return 0;
    }
    const double begin = before[to] / before[from];
    const bool isBounded = after[from] > 0;
    const double end =
            isBounded ? after[to] / after[from] : std::numeric_limits<double>::infinity();
    if (begin >= end) {
        return 0;
    }
    std::vector<double> points = { begin };
    for (std::size_t k = 0; k < before.size(); ++k) {
        if (after[k] > 0) {
            const double point = before[k] / before[from] * after[to] / after[k];
            if (point > begin && point < end) {
                points.push_back(point);
            }
        }
    }
    std::sort(points.begin(), points.end());
    if (isBounded) {
        points.push_back(end);
    }
    const auto sumAt = [&](double t) {
        double sum = 0;
        for (std::size_t k = 0; k < before.size(); ++k) {
            sum += std::max(before[k] / before[from], t * after[k] / after[to]);
        }
        return sum;
    };
    double share = 0;
    double sum = sumAt(points.front());
    for (std::size_t i = 1; i < points.size(); ++i) {
        const double next = sumAt(points[i]);
        share += (points[i] - points[i - 1]) / (sum * next);
        sum = next;
    }
    if (!isBounded) {
        double slope = 0;
        for (const double weight : after) {
            slope += weight / after[to];
        }
        share += 1 / (slope * sum);
    }
    return share;
}

double movedShare(const WeightRow &before, const WeightRow &after, const RegionId &from,
                  const RegionId &to)
{
    WeightRow all = before;
    all.insert(after.begin(), after.end());
    all.insert({ { from, Share{} }, { to, Share{} } });
    std::vector<double> beforeVector;
    std::vector<double> afterVector;
    std::size_t fromIndex = 0;
    std::size_t toIndex = 0;
    for (const auto &[region, share] : all) {
        if (region == from) {
            fromIndex = beforeVector.size();
        }
        if (region == to) {
            toIndex = beforeVector.size();
        }
        beforeVector.push_back(shareOf(before, region).ratio());
        afterVector.push_back(shareOf(after, region).ratio());
    }
    return movedShare(beforeVector, afterVector, fromIndex, toIndex);
}

} // namespace Tarragon
