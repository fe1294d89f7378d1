#include "LimitSimulation.h"
#include "Support/FirstSeed.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <iostream>

namespace Tarragon {
namespace {

using namespace std::chrono_literals;

/// A deployment: its entries, the rate that a cold target tolerates, and the requests that it
/// tolerates beyond one and a half times this rate.
struct ColdTargetParam
{
    int entries = 0;
    double perSecond = 0;
    double slack = 0;
};

class ColdTargetTest : public testing::TestWithParam<ColdTargetParam>
{
protected:
    static constexpr microseconds EvacuatedAt = 40s;
    static constexpr microseconds ReturnAt = 46s;
    static constexpr microseconds ColdTime = 4s;

    static LimitScenario scenario()
    {
        LimitScenario scenario;
        scenario.seed = firstSeed();
        scenario.entries = GetParam().entries;
        scenario.limitedTargets = 0;
        scenario.targets = 24;
        scenario.slotsPerTarget = 48;
        scenario.requestsPerSecond = 2'400;
        scenario.skew = 1.0 / 3;
        scenario.coldRequestsPerSecond = GetParam().perSecond;
        scenario.duration = ReturnAt + 8s;
        return scenario;
    }
    /// Evacuates the failure domain of the first target. Its targets become cold shortly before the
    /// end, of which entries learn within `maxDelay`.
    static void scheduleEvacuation(LimitSimulation &simulation, microseconds maxDelay)
    {
        const FailureDomainId domain = simulation.domainOf(0);
        simulation.at(EvacuatedAt,
                      [&simulation, domain] { simulation.setEvacuated({ domain }, 500ms); });
        for (std::size_t i = 0; i < simulation.targetCount(); ++i) {
            if (simulation.domainOf(i) == domain) {
                simulation.at(ReturnAt - 600ms,
                              [&simulation, i] { simulation.makeCold(i, ColdTime); });
            }
        }
        simulation.at(ReturnAt, [&simulation, maxDelay] { simulation.setEvacuated({}, maxDelay); });
    }
    /// Checks the bound of the platform's rule in each second at each target, and prints the
    /// largest number of requests in a second and the fraction of the tolerated requests that were
    /// sent from `begin` to the end of the cold time.
    static void expectWithinColdRate(const LimitSimulation &simulation, microseconds begin)
    {
        const microseconds end = ReturnAt - 600ms + ColdTime;
        std::ptrdiff_t most = 0;
        std::ptrdiff_t inUse = 0;
        std::size_t targets = 0;
        for (std::size_t i = 0; i < simulation.targetCount(); ++i) {
            const std::vector<microseconds> &arrivals = simulation.arrivalsWhileCold(i);
            for (auto it = arrivals.begin(); it != arrivals.end(); ++it) {
                most = std::max(most, std::lower_bound(it, arrivals.end(), *it + 1s) - it);
                inUse += *it >= begin && *it < end ? 1 : 0;
            }
            targets += simulation.domainOf(i) == simulation.domainOf(0) ? 1 : 0;
        }
        std::cout << "at most " << most << " in a second, in use "
                  << static_cast<double>(inUse)
                             / (GetParam().perSecond * inSeconds(end - begin)
                                * static_cast<double>(targets))
                  << "\n";
        EXPECT_LE(static_cast<double>(most), GetParam().perSecond * 1.5 + GetParam().slack);
    }
};

// Guards against entries that each may send a request to a target which becomes cold, because it
// has received none of theirs for a while.
TEST_P(ColdTargetTest, EvacuationThatEndsColdExceedsNoRate)
{
    LimitSimulation simulation(scenario());
    scheduleEvacuation(simulation, 100ms);
    simulation.run();
    expectWithinColdRate(simulation, ReturnAt + 200ms);
    EXPECT_GE(simulation.callers().servedRatio(), 0.98);
    EXPECT_EQ(simulation.callers().untrueRefusals, 0);
}

// Guards against a rate that is exceeded by entries which learn of the end of an evacuation at
// different times.
TEST_P(ColdTargetTest, EndOfAnEvacuationThatEntriesLearnAtDifferentTimesExceedsNoRate)
{
    LimitSimulation simulation(scenario());
    scheduleEvacuation(simulation, 2'500ms);
    simulation.run();
    expectWithinColdRate(simulation, ReturnAt + 1s);
    EXPECT_EQ(simulation.callers().untrueRefusals, 0);
}

// Guards against a rate that is exceeded by entries which are killed, started and paused, and
// therefore differ in their view of the live entries.
TEST_P(ColdTargetTest, EntriesThatStartStopAndPauseExceedNoColdRate)
{
    LimitSimulation simulation(scenario());
    scheduleEvacuation(simulation, 1s);
    for (std::size_t i = 0; i < simulation.entryCount(); i += 3) {
        const microseconds time =
                ReturnAt - 4s + scaled(8s, double(i) / double(simulation.entryCount()));
        if (i % 2 == 0) {
            simulation.at(time, [&simulation, i] { simulation.kill(i); });
            simulation.at(time + 1s, [&simulation, i] { simulation.start(i); });
        } else {
            simulation.at(time, [&simulation, i] { simulation.pause(i, 2s); });
        }
    }
    simulation.run();
    expectWithinColdRate(simulation, ReturnAt + 1s);
    EXPECT_EQ(simulation.callers().untrueRefusals, 0);
}

// Guards against a rate that is exceeded while a third of the entries are cut off from the others
// and all of them reach the targets.
TEST_P(ColdTargetTest, EntriesThatAreCutOffExceedNoColdRate)
{
    LimitSimulation simulation(scenario());
    scheduleEvacuation(simulation, 1s);
    std::set<std::size_t> third;
    for (std::size_t i = 0; i < simulation.entryCount(); i += 3) {
        third.insert(i);
    }
    simulation.at(ReturnAt - 2s, [&simulation, third] { simulation.cut(third); });
    simulation.run();
    expectWithinColdRate(simulation, ReturnAt + 1s);
    EXPECT_EQ(simulation.callers().untrueRefusals, 0);
}

INSTANTIATE_TEST_SUITE_P(Entries, ColdTargetTest,
                         testing::Values(ColdTargetParam{ 9, 15, 5 }, ColdTargetParam{ 86, 5.1, 8 },
                                         ColdTargetParam{ 295, 15, 5 }),
                         [](const testing::TestParamInfo<ColdTargetParam> &it) {
                             return std::to_string(it.param.entries);
                         });

} // namespace
} // namespace Tarragon
