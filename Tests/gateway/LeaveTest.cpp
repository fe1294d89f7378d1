#include "StoreSimulation.h"
#include "Support/FirstSeed.h"

#include <gmock/gmock.h>

#include <algorithm>
#include <iterator>
#include <set>

namespace Tarragon {
namespace {

using testing::IsEmpty;

/// Lets targets leave one by one, in the given period; the given fraction without announcing it.
void scheduleLeaves(StoreSimulation &run, milliseconds period, double unannounced = 0.3)
{
    const std::size_t count = static_cast<std::size_t>(seconds(26) / period);
    for (std::size_t i = 0; i < count; ++i) {
        const microseconds time = seconds(10) + period * i;
        const bool announces = !std::bernoulli_distribution(unannounced)(run.random());
        run.at(time, [&run, i, announces] {
            if (announces) {
                run.drain(i);
            } else {
                run.vanish(i);
            }
        });
    }
}

class LeaveTest : public testing::Test
{
protected:
    static constexpr std::uint64_t SeedCount = 2;

    /// Plays the actions that `schedule` adds to a run, with each seed.
    template<typename Schedule>
    void play(const StoreScenario &scenario, const Schedule &schedule)
    {
        for (std::uint64_t i = 0; i < SeedCount; ++i) {
            StoreScenario seeded = scenario;
            seeded.seed = firstSeed() + i;
            StoreSimulation run(seeded);
            schedule(run);
            run.run();
            EXPECT_THAT(run.violations(), IsEmpty()) << "seed " << seeded.seed;
            m_longestOutage = std::max(m_longestOutage, run.longestOutage());
        }
    }

    /// Longest outage that an entry in touch has seen in the runs.
    microseconds m_longestOutage{ 0 };
};

// Guards against an entry that hears of a leaving target too late because a single call to the
// store has failed, and each of its subscriptions waits for a retry by another one.
TEST_F(LeaveTest, LossOfSinglePacketsDelaysNoLeaveBeyondTheBound)
{
    play({}, [](StoreSimulation &run) {
        for (std::size_t i = 0; i < 6; ++i) {
            const microseconds time = seconds(10) + seconds(4) * i;
            run.at(time, [&run] { run.loseNextCalls(run.watchingEntries()); });
            run.at(time + milliseconds(1'900), [&run, i] { run.drain(i); });
        }
    });
    EXPECT_LT(m_longestOutage, seconds(1));
}

// Guards against targets that are retained too long because a single call to the store has failed.
TEST_F(LeaveTest, LossOfSinglePacketsRetainsNoTargetBeyondTheBound)
{
    StoreScenario scenario;
    scenario.callLossRatio = 0.02;
    play(scenario, [](StoreSimulation &run) { scheduleLeaves(run, milliseconds(130), 1); });
}

// Guards against entries that rely on watchers which have lost the store without noticing it yet.
TEST_F(LeaveTest, NeighboursOfWatchersWithoutTheStoreFollowLeavesInTime)
{
    play({}, [](StoreSimulation &run) {
        scheduleLeaves(run, milliseconds(130), 0);
        for (int i = 0; i < 3; ++i) {
            const milliseconds offset{ std::uniform_int_distribution<int>(0, 999)(run.random()) };
            run.at(seconds(10 + 9 * i) + offset,
                   [&run] { run.disturb(run.watchingEntries(), StorePath::Cut, seconds(4)); });
        }
    });
}

// Guards against targets that are retained too long because some watchers alone had lost the store.
TEST_F(LeaveTest, ReturnOfWatchersDoesNotRetainTargetsBeyondTheBound)
{
    play({}, [](StoreSimulation &run) {
        scheduleLeaves(run, milliseconds(130));
        for (int i = 0; i < 24; ++i) {
            run.at(seconds(9) + i * seconds(1), [&run] {
                std::set<std::size_t> watchers = run.watchingEntries();
                const std::size_t chosen = std::uniform_int_distribution<std::size_t>(
                        0, watchers.size() - 1)(run.random());
                run.disturb({ *std::next(watchers.begin(), std::ptrdiff_t(chosen)) },
                            StorePath::Rejecting, milliseconds(2'300));
            });
        }
    });
}

// Guards against targets that are retained too long because most of a service leave together.
TEST_F(LeaveTest, TargetsThatLeaveTogetherAreNotRetainedBeyondTheBound)
{
    play({}, [](StoreSimulation &run) {
        run.at(seconds(12), [&run] {
            for (std::size_t i = 0; i < 240; i += 3) {
                run.vanish(i);
            }
        });
    });
}

// Guards against using a draining target again because an earlier write of it takes effect late.
TEST_F(LeaveTest, DelayedWriteDoesNotRevokeALeave)
{
    play({}, [](StoreSimulation &run) {
        for (std::size_t i = 0; i < 30; ++i) {
            run.at(seconds(10) + milliseconds(500) * i, [&run, i] { run.drain(i); });
            run.at(seconds(12) + milliseconds(500) * i,
                   [&run, i] { run.applyWriteFromBeforeDraining(i); });
        }
    });
}

/// Adds a trouble of a random kind at the given time: entries without the store, cut, turned away
/// or without answers, paused or restarted entries, or a store that is away for all.
void scheduleTrouble(StoreSimulation &run, microseconds time)
{
    const int kind = std::uniform_int_distribution<int>(0, 6)(run.random());
    const double fraction = std::uniform_real_distribution<double>(0.02, 0.5)(run.random());
    const milliseconds duration{ std::uniform_int_distribution<int>(200, 6'000)(run.random()) };
    run.at(time, [&run, kind, fraction, duration] {
        const std::set<std::size_t> entries =
                kind == 0 ? run.watchingEntries() : run.drawEntries(fraction);
        switch (kind) {
        case 0:
        case 1:
            run.disturb(entries, StorePath::Cut, duration);
            break;
        case 2:
            run.disturb(entries, StorePath::Rejecting, duration);
            break;
        case 3:
            run.disturb(entries, StorePath::Silent, duration);
            break;
        case 4:
            for (const std::size_t it : entries) {
                run.pause(it, duration);
            }
            break;
        case 5:
            for (const std::size_t it : entries) {
                run.restart(it);
            }
            break;
        default:
            run.disturbStore(duration.count() % 2 == 0 ? StorePath::Rejecting : StorePath::Silent,
                             duration / 3);
            break;
        }
    });
}

// Guards against any way on which an entry in touch follows leaves or the desired state too late
// while other entries or the store are in trouble.
TEST_F(LeaveTest, EntriesInTouchFollowTheStoreDuringTroubleOfOthers)
{
    StoreScenario scenario;
    scenario.callLossRatio = 0.0015;
    play(scenario, [](StoreSimulation &run) {
        scheduleLeaves(run, milliseconds(390));
        for (int i = 0; i < 12; ++i) {
            run.at(seconds(10) + milliseconds(2'100) * i, [&run] { run.changeDesiredState(); });
        }
        for (int i = 0; i < 4; ++i) {
            const milliseconds offset{ std::uniform_int_distribution<int>(0, 5'000)(run.random()) };
            scheduleTrouble(run, seconds(9) + i * seconds(6) + offset);
        }
    });
}

} // namespace
} // namespace Tarragon
