#include "StoreSimulation.h"
#include "Support/FirstSeed.h"

#include <gmock/gmock.h>

#include <set>
#include <string>
#include <tuple>

namespace Tarragon {
namespace {

using testing::IsEmpty;

constexpr std::size_t RoundCount = 3;
constexpr microseconds RoundTime = seconds(9);
constexpr int MinCutMs = 200;
constexpr int MaxCutMs = 4'500;

/// Number of entries, and the direction in which packets are lost.
using SilentCutParam = std::tuple<std::size_t, StorePath>;

/// Cuts after which connections stay open without an answer, with changes around them. Nothing is
/// reset.
class SilentCutTest : public testing::TestWithParam<SilentCutParam>
{
protected:
    static constexpr std::uint64_t SeedCount = 2;

    /// Runs `disturb` in each of some rounds, with a change of each kind during the cut or shortly
    /// after it. Entries in touch must follow within the bounds.
    template<typename Disturb>
    void play(const Disturb &disturb)
    {
        for (std::uint64_t i = 0; i < SeedCount; ++i) {
            StoreScenario scenario;
            scenario.seed = firstSeed() + i;
            scenario.entryCount = std::get<std::size_t>(GetParam());
            StoreSimulation run(scenario);
            for (std::size_t round = 0; round < RoundCount; ++round) {
                const microseconds time = seconds(10) + RoundTime * round + draw(run, 0, 500);
                run.at(time, [&run, &disturb] { disturb(run); });
                run.at(time + draw(run, 0, 6'000), [&run, round] { run.drain(round); });
                run.at(time + draw(run, 0, 3'000), [&run] { run.changeDesiredState(); });
                run.at(time + draw(run, 3'000, 6'000), [&run] { run.changeDesiredState(); });
                run.at(time + draw(run, 0, 6'000), [&run] { run.evacuate(); });
            }
            run.run();
            EXPECT_THAT(run.violations(), IsEmpty()) << "seed " << scenario.seed;
        }
    }
    static microseconds draw(StoreSimulation &run, int minMs, int maxMs)
    {
        return milliseconds(std::uniform_int_distribution<int>(minMs, maxMs)(run.random()));
    }
    static microseconds drawCut(StoreSimulation &run) { return draw(run, MinCutMs, MaxCutMs); }
    static StorePath path() { return std::get<StorePath>(GetParam()); }
};

// Guards against a watch that a cut has severed and that stays open after the cut has ended.
TEST_P(SilentCutTest, CutLeavesNoWatchWithoutAnAnswer)
{
    play([](StoreSimulation &run) { run.sever(run.drawEntries(0.4), path(), drawCut(run)); });
}

// Guards against an entry whose first list, or the watch after it, falls into a cut.
TEST_P(SilentCutTest, CutDuringTheFirstListDelaysNoChange)
{
    play([](StoreSimulation &run) {
        const std::set<std::size_t> entries = run.drawEntries(0.3);
        for (const std::size_t it : entries) {
            run.restart(it);
        }
        const microseconds duration = drawCut(run);
        run.at(run.now() + draw(run, 0, 800),
               [&run, entries, duration] { run.sever(entries, path(), duration); });
    });
}

// Guards against an older version at the neighbours of watchers that a cut has severed, from the
// store and from the other entries.
TEST_P(SilentCutTest, CutOfWatchersLeavesNoNeighbourBehind)
{
    play([](StoreSimulation &run) {
        const std::set<std::size_t> watchers = run.watchingEntries();
        const microseconds duration = drawCut(run);
        run.sever(watchers, path(), duration);
        if (path() == StorePath::Cut) {
            run.isolate(watchers, duration);
        }
    });
}

// Guards against an older version at an entry that returns beside watchers which are behind, while
// lists that may be stale are behind too.
TEST_P(SilentCutTest, ReturnBesideWatchersThatAreBehindBringsNoOlderVersion)
{
    play([](StoreSimulation &run) {
        run.answerFromStaleCopy(seconds(5));
        run.sever(run.watchingEntries(), path(), drawCut(run));
        run.at(run.now() + draw(run, 500, 4'000), [&run] {
            const std::set<std::size_t> watching = run.watchingEntries();
            for (const std::size_t it : run.drawEntries(0.4)) {
                if (!watching.contains(it)) {
                    run.restart(it);
                }
            }
        });
    });
}

INSTANTIATE_TEST_SUITE_P(Cuts, SilentCutTest,
                         testing::Combine(testing::Values(9, 86),
                                          testing::Values(StorePath::Cut, StorePath::RequestsLost,
                                                          StorePath::ResponsesLost)),
                         [](const testing::TestParamInfo<SilentCutParam> &it) {
                             const StorePath path = std::get<StorePath>(it.param);
                             const std::string name = path == StorePath::Cut ? "BothDirections"
                                                      : path == StorePath::RequestsLost
                                                              ? "RequestsLost"
                                                              : "ResponsesLost";
                             return name + std::to_string(std::get<std::size_t>(it.param));
                         });

} // namespace
} // namespace Tarragon
