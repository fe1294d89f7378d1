// Plays loads against the code that places requests and checks what callers get.

#include "model/ModelRun.h"
#include "document/TextFile.h"
#include "model/LeastLoadedPolicy.h"
#include "model/LoadPlot.h"

#include <gtest/gtest.h>

namespace Tarragon {
namespace {

constexpr std::uint64_t FirstSeed = 1;
constexpr std::uint64_t LastSeed = 3;

/// Part of the whole that the worst windows and the worst-served region must reach; the aim that
/// docs/overload.md states for the worst windows.
constexpr double WorstPart = 0.6;

LoadPlan readPlan(const std::string &name)
{
    const std::string file = std::string(TARRAGON_SOURCE_DIR) + "/Deployments/loads/" + name;
    Findings findings;
    std::optional<LoadPlan> plan = parseLoadPlan(readTextFile(file), file, findings);
    if (!plan.has_value()) {
        throw std::runtime_error(toString(findings.at(0)));
    }
    return *std::move(plan);
}

LoadPlan standsWith(const ModelTrouble &trouble)
{
    LoadPlan plan = readPlan("stands.yaml");
    plan.troubles = { trouble };
    return plan;
}

LoadResult playDispatcher(const LoadPlan &plan, std::uint64_t seed,
                          const DispatchOptions &options = {})
{
    return ModelRun<ServiceDispatcher>(
                   plan, seed,
                   [&options](const EntryLocality &place, const HostedService &service) {
                       return std::make_unique<ServiceDispatcher>(place, service, options);
                   })
            .run("dispatcher");
}

LoadResult playLeastLoaded(const LoadPlan &plan, std::uint64_t seed)
{
    return ModelRun<LeastLoadedPolicy>(
                   plan, seed,
                   [](const EntryLocality &place, const HostedService &service) {
                       return std::make_unique<LeastLoadedPolicy>(place, service);
                   })
            .run("least-loaded");
}

/// Mean over seeds of the part of requests that were answered within their goal.
double meanInGoal(const LoadPlan &plan, std::size_t homes)
{
    double sum = 0;
    for (std::uint64_t seed = FirstSeed; seed <= LastSeed; ++seed) {
        sum += playDispatcher(plan, seed, DispatchOptions{ homes }).total().inGoalPart();
    }
    return sum / (LastSeed - FirstSeed + 1);
}

// Guards against a model that ranks policies otherwise than real deployments did, where two homes
// were better than one and than three, and least load was far worse than all of them.
TEST(ModelRunTest, PoliciesRankAsOnDeployments)
{
    const LoadPlan plan = readPlan("stands-trouble.yaml");
    const double two = meanInGoal(plan, 2);
    EXPECT_GT(two, meanInGoal(plan, 1));
    EXPECT_GT(two, meanInGoal(plan, 3));
    for (std::uint64_t seed = FirstSeed; seed <= LastSeed; ++seed) {
        EXPECT_LT(playLeastLoaded(plan, seed).total().inGoalPart(), two / 2);
    }
}

// Guards against the state in which targets forget objects as fast as they learn them: it must be
// left again after all of them have lost their memory. Least load stays in it.
TEST(ModelRunTest, ColdStateIsLeftAgain)
{
    ModelTrouble trouble;
    trouble.kind = TroubleKind::Forget;
    trouble.at = seconds(10);
    LoadPlan plan = standsWith(trouble);
    for (ModelRoute &it : plan.routes) {
        it.objects *= 2;
    }
    for (std::uint64_t seed = FirstSeed; seed <= LastSeed; ++seed) {
        const LoadResult result = playDispatcher(plan, seed);
        const double before = result.between(seconds(5), seconds(10)).inGoalPart();
        EXPECT_GT(result.between(seconds(14), seconds(20)).inGoalPart(), WorstPart * before);
        const LoadResult baseline = playLeastLoaded(plan, seed);
        EXPECT_LT(baseline.between(seconds(14), seconds(20)).inGoalPart(), WorstPart * before);
    }
}

// Guards against entries that, having forgotten what they learned, send objects to other targets
// than before.
TEST(ModelRunTest, RestartOfAllEntriesKeepsTheTargetsWarm)
{
    ModelTrouble trouble;
    trouble.kind = TroubleKind::Restart;
    trouble.at = seconds(10);
    for (std::uint64_t seed = FirstSeed; seed <= LastSeed; ++seed) {
        const LoadResult result = playDispatcher(standsWith(trouble), seed);
        const double before = result.between(seconds(5), seconds(10)).inGoalPart();
        for (int second = 11; second < 20; ++second) {
            EXPECT_GT(result.between(seconds(second), seconds(second + 1)).inGoalPart(),
                      WorstPart * before)
                    << "second " << second << ", seed " << seed;
        }
    }
}

// Guards against callers who are told to come back and are then refused again.
TEST(ModelRunTest, MostWhoComeBackWhenToldAreAnswered)
{
    ModelTrouble trouble;
    trouble.kind = TroubleKind::Burst;
    trouble.at = seconds(10);
    trouble.duration = seconds(3);
    trouble.factor = 1.7;
    for (std::uint64_t seed = FirstSeed; seed <= LastSeed; ++seed) {
        const LoadResult result = playDispatcher(standsWith(trouble), seed);
        EXPECT_GT(result.returned, 0);
        EXPECT_GT(result.returnedAnswered, result.returned / 2);
        for (const LoadWindow &it : result.windows) {
            EXPECT_LE(it.tally.refused, it.tally.asked / 2) << it.begin.count();
        }
    }
}

// Guards against a region, or a route, whose callers pay for those of others.
TEST(ModelRunTest, NoRegionOrRouteIsStarved)
{
    const LoadPlan plan = readPlan("stands-trouble.yaml");
    for (std::uint64_t seed = FirstSeed; seed <= LastSeed; ++seed) {
        const LoadResult result = playDispatcher(plan, seed);
        const double whole = result.total().inGoalPart();
        for (const auto &[region, tally] : result.regions) {
            EXPECT_GT(tally.inGoalPart(), WorstPart * whole) << region.value();
        }
        for (const auto &[route, tally] : result.routes) {
            EXPECT_GT(tally.inGoalPart(), WorstPart * whole) << route.value();
        }
    }
}

// Guards against entries that together fill the queues of targets: what does not fit is to be
// refused by entries, with a time to come back.
TEST(ModelRunTest, QueuesOfTargetsAreNotFilledWhileAllIsWell)
{
    const LoadPlan plan = readPlan("stands.yaml");
    for (std::uint64_t seed = FirstSeed; seed <= LastSeed; ++seed) {
        for (const auto &[service, longest] : playDispatcher(plan, seed).longestQueue) {
            EXPECT_LT(longest, plan.services.at(service).queue) << service.value();
        }
    }
}

// Guards against targets that decline most of their requests and still get their share of them.
TEST(ModelRunTest, SheddingTargetsAreSpared)
{
    ModelTrouble trouble;
    trouble.kind = TroubleKind::Shed;
    trouble.at = seconds(10);
    trouble.duration = seconds(8);
    trouble.share = 0.15;
    trouble.factor = 0.9;
    for (std::uint64_t seed = FirstSeed; seed <= LastSeed; ++seed) {
        const LoadResult result = playDispatcher(standsWith(trouble), seed);
        const double before = result.between(seconds(5), seconds(10)).inGoalPart();
        EXPECT_GT(result.between(seconds(12), seconds(18)).inGoalPart(), WorstPart * before);
    }
}

// Guards against requests that are lost or counted twice, and against results that cannot be
// repeated.
TEST(ModelRunTest, EveryRequestEndsOnceAndRunsRepeat)
{
    const LoadPlan plan = readPlan("stands-trouble.yaml");
    const LoadResult result = playDispatcher(plan, 7);
    const LoadTally total = result.total();
    EXPECT_GT(total.asked, 0);
    EXPECT_EQ(total.asked, total.inGoal + total.late + total.refused + total.failed);
    EXPECT_EQ(toJson(result), toJson(playDispatcher(plan, 7)));
    EXPECT_NE(toJson(result), toJson(playDispatcher(plan, 8)));
}

// Guards against plots that leave out a region or cannot be read.
TEST(LoadPlotTest, NamesWhatItShows)
{
    const LoadResult result = playDispatcher(readPlan("stands.yaml"), 1);
    const std::string use = plotUse(result);
    for (const auto &[region, tally] : result.regions) {
        EXPECT_NE(use.find(">" + region.value() + "</text>"), std::string::npos);
    }
    EXPECT_NE(plotTimes(result).find(">99th percentile</text>"), std::string::npos);
    EXPECT_TRUE(use.ends_with("</svg>\n"));
}

} // namespace
} // namespace Tarragon
