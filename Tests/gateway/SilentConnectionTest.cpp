#include "StoreSimulation.h"
#include "Support/FirstSeed.h"
#include "gateway/KindSubscriptionTemplate.h"
#include "platform/RegistryDecoder.h"
#include "platform/RouteTableDecoder.h"

#include <gmock/gmock.h>

#include <set>
#include <string>

namespace Tarragon {
namespace {

using testing::IsEmpty;

constexpr std::size_t RoundCount = 5;
constexpr microseconds RoundTime = seconds(6);

/// Number of entries of a run: all watch the store, or a few of each failure domain do.
class SilentConnectionTest : public testing::TestWithParam<std::size_t>
{
protected:
    static constexpr std::uint64_t SeedCount = 2;

    /// Runs `silence` in each of some rounds, and in the seconds after it changes what entries must
    /// follow. Entries in touch must follow within the bounds.
    template<typename Silence>
    void play(const Silence &silence)
    {
        for (std::uint64_t i = 0; i < SeedCount; ++i) {
            StoreScenario scenario;
            scenario.seed = firstSeed() + i;
            scenario.entryCount = GetParam();
            StoreSimulation run(scenario);
            for (std::size_t round = 0; round < RoundCount; ++round) {
                const microseconds time = seconds(10) + RoundTime * round + draw(run, 500);
                run.at(time, [&run, &silence, round] { silence(run, round); });
                run.at(time + draw(run, 4'000), [&run, round] { run.drain(round); });
                run.at(time + draw(run, 4'000), [&run] { run.changeDesiredState(); });
                run.at(time + draw(run, 4'000), [&run] { run.evacuate(); });
            }
            run.run();
            EXPECT_THAT(run.violations(), IsEmpty()) << "seed " << scenario.seed;
        }
    }
    static microseconds draw(StoreSimulation &run, int maxMs)
    {
        return milliseconds(std::uniform_int_distribution<int>(0, maxMs)(run.random()));
    }
    static std::set<std::size_t> all(const StoreSimulation &run)
    {
        std::set<std::size_t> entries;
        for (std::size_t i = 0; i < run.entryCount(); ++i) {
            entries.insert(i);
        }
        return entries;
    }
};

/// Returns the followed kind whose watches are silenced in a round.
std::string kindOf(std::size_t round)
{
    static constexpr const char *Kinds[] = { Platform::EvacuationKind, Platform::DesiredStateKind,
                                             Platform::TargetKind };
    return Kinds[round % std::size(Kinds)];
}

// Guards against an entry that waits for the lost answer to one watch until the watch times out,
// and meanwhile acts on what it knew before.
TEST_P(SilentConnectionTest, OneLostAnswerDelaysNoChangeBeyondTheBounds)
{
    play([](StoreSimulation &run, std::size_t round) {
        const std::set<std::size_t> watching = run.watchingEntries();
        run.silenceWatches({ *std::next(watching.begin(), std::ptrdiff_t(round)) }, kindOf(round));
    });
}

// Guards against watchers that all lose an answer, so that no neighbour knows of the change.
TEST_P(SilentConnectionTest, LostAnswersOfAllWatchersDelayNoChangeBeyondTheBounds)
{
    play([](StoreSimulation &run, std::size_t round) {
        run.silenceWatches(run.watchingEntries(), kindOf(round));
    });
}

// Guards against entries that call again on a connection which has gone silent as well.
TEST_P(SilentConnectionTest, SilentConnectionsToTheStoreDelayNoChangeBeyondTheBounds)
{
    play([](StoreSimulation &run, std::size_t round) {
        run.silenceStoreConnections(round % 2 == 0 ? all(run) : run.drawEntries(0.7));
    });
}

// Guards against entries that rely on watchers whose replies no longer arrive, and whose own
// connections to the store are silent too.
TEST_P(SilentConnectionTest, SilentConnectionsToNeighboursDelayNoChangeBeyondTheBounds)
{
    play([](StoreSimulation &run, std::size_t) {
        const std::set<std::size_t> entries = run.drawEntries(0.7);
        run.silenceNeighbours(entries, milliseconds(1'500));
        run.silenceStoreConnections(entries);
    });
}

// Guards against the loss of the first watches of a process that has just restarted.
TEST_P(SilentConnectionTest, SilentConnectionsAfterARestartDelayNoChangeBeyondTheBounds)
{
    play([](StoreSimulation &run, std::size_t) {
        const std::set<std::size_t> entries = run.drawEntries(0.3);
        for (const std::size_t it : entries) {
            run.restart(it);
        }
        run.at(run.now() + draw(run, 2'000),
               [&run, entries] { run.silenceStoreConnections(entries); });
    });
}

// Guards against a store that has dropped its history and is taken for unavailable, because a
// verification shows it before the watch does.
TEST(SilentWatchTest, HistoryThatIsGoneAtAVerificationIsNoOutage)
{
    VirtualSchedule schedule;
    const auto advance = [&schedule] {
        const microseconds end = schedule.now() + seconds(1);
        while (schedule.step(end)) {
        }
    };
    VirtualLoop loop(schedule);
    VirtualStore store(schedule);
    VirtualStoreClient client(loop, store, milliseconds(5), 0, 1);
    StoreHealth health;
    int outages = 0;
    health.becameUnavailable().connect([&outages](const std::string &) { ++outages; });
    std::size_t known = 0;
    BasicKindSubscription<VirtualLoop, VirtualStoreClient> subscription(
            loop, client, health, Platform::TargetKind,
            { [&known](const std::vector<Platform::StoredItem> &items) { known = items.size(); },
              [](const std::vector<Platform::StoredChange> &) {} },
            1);
    store.put(Platform::TargetKind, "t1", nlohmann::json::object());
    subscription.start();
    advance();
    ASSERT_EQ(known, 1u);
    client.silenceWatches(Platform::TargetKind);
    store.put(Platform::TargetKind, "t2", nlohmann::json::object());
    store.compact();
    const StoreRevision current{ subscription.revision().era, store.objects().revision() };
    subscription.verify(current, loop.now());
    advance();
    EXPECT_EQ(known, 2u);
    EXPECT_EQ(outages, 0);
}

INSTANTIATE_TEST_SUITE_P(EntryCounts, SilentConnectionTest, testing::Values(9, 86));

} // namespace
} // namespace Tarragon
