#include "Support/FirstSeed.h"
#include "SuspectSimulation.h"

#include <gtest/gtest.h>

namespace Tarragon {
namespace {

/// The platform's bound: retries of a request later than the contact time after the third ending.
constexpr int MaxLateAttempts = 3;
/// The users' target for requests that do no harm.
constexpr double MinAnsweredRatio = 0.97;
constexpr microseconds TrafficStart{ 5'000'000 };

/// Plays scenarios at three sizes of the deployment.
class SuspectTest : public testing::TestWithParam<int>
{
protected:
    static constexpr std::uint64_t SeedCount = 2;

    template<typename Schedule>
    void play(SuspectScenario scenario, const Schedule &schedule)
    {
        scenario.entries = GetParam();
        // Gossip of so many entries takes most of the time of a run.
        const std::uint64_t seedCount = scenario.entries > 100 ? 1 : SeedCount;
        for (std::uint64_t i = 0; i < seedCount; ++i) {
            scenario.seed = firstSeed() + i;
            SuspectSimulation run(scenario);
            schedule(run);
            run.run();
            for (const HarmfulFigures &it : run.harmful()) {
                EXPECT_LE(it.lateAttempts, MaxLateAttempts)
                        << "seed " << scenario.seed << ", ended " << it.ended;
            }
            EXPECT_GE(run.answeredRatio(TrafficStart), MinAnsweredRatio)
                    << "seed " << scenario.seed << ", ended " << run.endedTargets();
            RecordProperty("answered" + std::to_string(scenario.seed),
                           std::to_string(run.answeredRatio(TrafficStart)));
            RecordProperty("ended" + std::to_string(scenario.seed),
                           std::to_string(run.endedTargets()));
        }
    }
    static SuspectScenario slowRepeats()
    {
        SuspectScenario scenario;
        scenario.harmfulRequests = 6;
        scenario.harmfulPeriod = milliseconds(1'200);
        return scenario;
    }
};

// Guards against harmful requests that come again at once, at any entry.
TEST_P(SuspectTest, FastRepeatsEndFewTargets)
{
    play(SuspectScenario{}, [](SuspectSimulation &) {});
}

// Guards against harmful requests that come again slowly.
TEST_P(SuspectTest, SlowRepeatsEndFewTargets)
{
    play(slowRepeats(), [](SuspectSimulation &) {});
}

// Guards against harmful requests that may not be repeated by entries, and come again by callers.
TEST_P(SuspectTest, RepeatsOfUnsafeRequestsEndFewTargets)
{
    SuspectScenario scenario;
    scenario.areHarmfulRepeatable = false;
    play(scenario, [](SuspectSimulation &) {});
}

// Guards against entries that know nothing after a restart, or missed what became known while they
// were paused or cut off.
TEST_P(SuspectTest, EntriesThatMissedTheEndingsLearnOfThem)
{
    for (const SuspectScenario &scenario : { SuspectScenario{}, slowRepeats() }) {
        play(scenario, [](SuspectSimulation &run) {
            const std::size_t count = run.entryCount();
            run.at(milliseconds(5'100), [&run, count] {
                for (std::size_t i = 0; i < count; i += 5) {
                    run.pause(i, seconds(4));
                }
            });
            run.at(milliseconds(5'200), [&run, count] {
                std::set<std::size_t> cut;
                for (std::size_t i = 1; i < count; i += 4) {
                    cut.insert(i);
                }
                run.cut(cut, seconds(8));
            });
            for (int i = 0; i < 12; ++i) {
                run.at(milliseconds(6'000 + 2'000 * i),
                       [&run, i, count] { run.restart(static_cast<std::size_t>(i) % count); });
            }
        });
    }
}

INSTANTIATE_TEST_SUITE_P(Sizes, SuspectTest, testing::Values(9, 90, 295));

} // namespace
} // namespace Tarragon
