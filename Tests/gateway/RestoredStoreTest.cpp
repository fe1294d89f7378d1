#include "StoreSimulation.h"
#include "Support/FirstSeed.h"

#include <gmock/gmock.h>

#include <algorithm>

namespace Tarragon {
namespace {

using testing::IsEmpty;

/// Adds changes of the desired state just before the given time.
void changeJustBefore(StoreSimulation &run, microseconds time)
{
    for (const int it : { 900, 500, 200 }) {
        run.at(time - milliseconds(it), [&run] { run.changeDesiredState(); });
    }
}

class RestoredStoreTest : public testing::Test
{
protected:
    static constexpr std::uint64_t SeedCount = 2;

    /// Plays the actions that `schedule` adds to a run, with each seed.
    template<typename Schedule>
    void play(const Schedule &schedule)
    {
        for (std::uint64_t i = 0; i < SeedCount; ++i) {
            StoreScenario scenario;
            scenario.seed = firstSeed() + i;
            StoreSimulation run(scenario);
            schedule(run);
            run.run();
            EXPECT_THAT(run.violations(), IsEmpty()) << "seed " << scenario.seed;
        }
    }
};

// Guards against entries that miss changes because they go on watching from a revision that the
// restored store gives out again.
TEST_F(RestoredStoreTest, ChangesAfterTheLossAreAdopted)
{
    play([](StoreSimulation &run) {
        changeJustBefore(run, seconds(15));
        for (std::size_t i = 0; i < 20; ++i) {
            run.at(seconds(15) - milliseconds(50) * i, [&run, i] { run.drain(i); });
        }
        run.at(seconds(15), [&run] { run.restoreStore(seconds(6), milliseconds(500)); });
        run.at(seconds(22), [&run] { run.changeDesiredState(); });
    });
}

// Guards against a second loss while entries still read the store after the first one.
TEST_F(RestoredStoreTest, TwoLossesInSuccessionAreSurvived)
{
    play([](StoreSimulation &run) {
        changeJustBefore(run, seconds(15));
        run.at(seconds(15), [&run] { run.restoreStore(seconds(6), milliseconds(300)); });
        changeJustBefore(run, seconds(20));
        run.at(seconds(20), [&run] { run.restoreStore(seconds(4), milliseconds(300)); });
    });
}

// Guards against entries that were cut off, paused or restarted over the loss, and against relays
// that mix changes of before and after it.
TEST_F(RestoredStoreTest, EntriesThatDidNotSeeTheLossFollowIt)
{
    play([](StoreSimulation &run) {
        changeJustBefore(run, seconds(15));
        run.at(milliseconds(13'500), [&run] {
            run.disturb(run.drawEntries(0.4), StorePath::Cut, seconds(5));
            for (const std::size_t it : run.drawEntries(0.2)) {
                run.pause(it, seconds(4));
            }
        });
        run.at(seconds(15), [&run] { run.restoreStore(seconds(6), milliseconds(500)); });
        run.at(seconds(16), [&run] {
            for (const std::size_t it : run.drawEntries(0.1)) {
                run.restart(it);
            }
        });
        run.at(seconds(17), [&run] { run.changeDesiredState(); });
    });
}

// Guards against entries that start while the store turns calls away, learn its era from the
// rejections, and do not follow it after the restore.
TEST_F(RestoredStoreTest, EntriesThatStartInAnOutageFollowTheRestoredStore)
{
    play([](StoreSimulation &run) {
        changeJustBefore(run, seconds(15));
        run.at(milliseconds(12'500),
               [&run] { run.disturbStore(StorePath::Rejecting, milliseconds(2'500)); });
        for (const int it : { 12'600, 13'200, 13'900, 14'600 }) {
            run.at(milliseconds(it), [&run] {
                for (const std::size_t entry : run.drawEntries(0.1)) {
                    run.restart(entry);
                }
            });
        }
        run.at(seconds(15), [&run] { run.restoreStore(seconds(6), milliseconds(500)); });
        run.at(seconds(17), [&run] { run.changeDesiredState(); });
    });
}

// Guards against using a target again that had left before the loss, because the copy has its
// registration.
TEST_F(RestoredStoreTest, TargetsThatHadLeftAreNotUsedAgain)
{
    play([](StoreSimulation &run) {
        // Entries have heard of the last one, at 13.04 s, when the store loses it.
        for (std::size_t i = 0; i < 20; ++i) {
            run.at(seconds(10) + milliseconds(160) * i, [&run, i] { run.vanish(i); });
        }
        run.at(seconds(15), [&run] { run.restoreStore(seconds(8), milliseconds(500)); });
    });
}

} // namespace
} // namespace Tarragon
