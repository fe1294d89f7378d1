#include "steering/WeightMoves.h"

#include "base/Digest.h"
#include "steering/Rendezvous.h"

#include <gtest/gtest.h>

#include <random>

namespace Tarragon {
namespace {

constexpr int CallerCount = 200'000;

/// Upper bound of five standard deviations of a share counted over CallerCount callers.
constexpr double CountError = 5 * 0.5 / 447.0;

std::size_t choose(std::uint64_t caller, const std::vector<double> &weights)
{
    std::size_t best = 0;
    double bestScore = 0;
    bool isFirst = true;
    for (std::size_t i = 0; i < weights.size(); ++i) {
        if (weights[i] <= 0) {
            continue;
        }
        const double score = rendezvousScore(caller, stableHash(std::to_string(i)), weights[i]);
        if (isFirst || score < bestScore) {
            best = i;
            bestScore = score;
            isFirst = false;
        }
    }
    return best;
}

// Caps are checked with the computed moves. If these were smaller than the moves that the hash
// causes, caps would be exceeded unnoticed.
TEST(WeightMoves, ComputedMovesAgreeWithCountedCallers)
{
    const std::vector<std::pair<std::vector<double>, std::vector<double>>> cases = {
        { { 0.7, 0.3 }, { 0.6, 0.4 } },
        { { 0.5, 0.3, 0.2 }, { 0.4, 0.4, 0.2 } },
        { { 0.5, 0.3, 0.2 }, { 0, 0.5, 0.5 } },
        { { 0, 0.5, 0.5 }, { 0.5, 0.3, 0.2 } },
        { { 0.25, 0.25, 0.25, 0.25 }, { 0.1, 0.2, 0.3, 0.4 } },
    };
    for (const auto &[before, after] : cases) {
        std::vector<std::vector<double>> counted(before.size(), std::vector<double>(before.size()));
        for (int i = 0; i < CallerCount; ++i) {
            const std::uint64_t caller = stableHash(std::to_string(i));
            counted[choose(caller, before)][choose(caller, after)] += 1.0 / CallerCount;
        }
        for (std::size_t from = 0; from < before.size(); ++from) {
            for (std::size_t to = 0; to < before.size(); ++to) {
                if (from != to) {
                    EXPECT_NEAR(movedShare(before, after, from, to), counted[from][to], CountError);
                }
            }
        }
    }
}

// The moves to a region minus the moves from it must equal the change of its weight exactly.
TEST(WeightMoves, MovesBalanceTheChangeOfWeights)
{
    std::mt19937 random(1);
    std::uniform_real_distribution<double> uniform(0, 1);
    for (int i = 0; i < 1'000; ++i) {
        std::vector<double> before(4);
        std::vector<double> after(4);
        double beforeSum = 0;
        double afterSum = 0;
        for (std::size_t k = 0; k < before.size(); ++k) {
            before[k] = uniform(random) < 0.2 ? 0 : uniform(random);
            after[k] = uniform(random) < 0.2 ? 0 : uniform(random);
            beforeSum += before[k];
            afterSum += after[k];
        }
        if (beforeSum <= 0 || afterSum <= 0) {
            continue;
        }
        for (std::size_t k = 0; k < before.size(); ++k) {
            double balance = 0;
            for (std::size_t other = 0; other < before.size(); ++other) {
                balance +=
                        movedShare(before, after, other, k) - movedShare(before, after, k, other);
            }
            EXPECT_NEAR(balance, after[k] / afterSum - before[k] / beforeSum, 1e-9);
        }
    }
}

} // namespace
} // namespace Tarragon
