#include "UsageSimulation.h"

#include <gtest/gtest.h>

#include <cmath>
#include <iostream>

namespace Tarragon {
namespace {

using namespace std::chrono_literals;

/// Part of a cap that is to be usable while demand exceeds it.
constexpr double RequiredUse = 0.9;
/// Part of the cap that workspaces usually demand.
constexpr double UsualDemand = 0.6;
constexpr microseconds Window{ 5'000'000 };

SimulatedWorkspace workspaceOf(const std::string &name, double rate, double demand)
{
    SimulatedWorkspace it;
    it.workspace.name = WorkspaceName(name);
    it.workspace.cap = UsageCap{ rate, rate };
    it.demand = [demand](microseconds) { return demand; };
    return it;
}

/// Returns workspaces with caps from 8 to 710 requests per second, most of them small, as in the
/// deployment with 71 entries.
std::vector<SimulatedWorkspace> fleetWorkspaces(int count, double demandedPart)
{
    std::vector<SimulatedWorkspace> workspaces;
    for (int i = 0; i < count; ++i) {
        const double rate =
                8 * std::pow(710.0 / 8, std::pow((i + 0.0) / std::max(count - 1, 1), 4));
        workspaces.push_back(
                workspaceOf("w" + std::to_string(i), rate, std::max(demandedPart * rate, 1.0)));
    }
    return workspaces;
}

/// Returns workspaces of all sizes whose demand exceeds their caps.
std::vector<SimulatedWorkspace> greedyWorkspaces()
{
    return { workspaceOf("small", 8, 16), workspaceOf("medium", 60, 120),
             workspaceOf("large", 300, 500), workspaceOf("largest", 710, 1'100) };
}

/// Returns the highest number of requests that ran in a window of 5 s from `begin` on, less the
/// number that may run.
double worstExcess(const SimulatedWorkspace &it, const UsageCap &cap, microseconds begin)
{
    const double allowed = (cap.perSecond * 5 + cap.burst) * 1.1 + 20;
    double worst = -allowed;
    for (const microseconds &start : it.runs) {
        if (start >= begin) {
            worst = std::max(worst, countBetween(it.runs, start, start + Window) - allowed);
        }
    }
    return worst;
}

void expectWithinCaps(UsageSimulation &simulation)
{
    for (const SimulatedWorkspace &it : simulation.workspaces()) {
        const double excess = worstExcess(it, *it.workspace.cap, microseconds(0));
        EXPECT_LE(excess, 0) << it.workspace.name.value();
        if (simulation.workspaces().size() <= 4) {
            std::cout << it.workspace.name.value() << " excess " << excess << '\n';
        }
    }
}

/// Returns the part of the requests from `begin` to `end` that was refused.
double refusedPart(UsageSimulation &simulation, microseconds begin, microseconds end)
{
    int overCap = 0;
    int unknown = 0;
    int arrivals = 0;
    for (const SimulatedWorkspace &it : simulation.workspaces()) {
        overCap += countBetween(it.overCap, begin, end);
        unknown += countBetween(it.unknown, begin, end);
        arrivals += countBetween(it.arrivals, begin, end);
    }
    std::cout << "of " << arrivals << " requests from " << inSeconds(begin) << " to "
              << inSeconds(end) << " s, " << overCap << " over the cap, " << unknown
              << " unknown\n";
    return static_cast<double>(overCap + unknown) / arrivals;
}

/// Runs with the numbers of entries of the deployments.
class UsageCapTest : public testing::TestWithParam<int>
{
protected:
    static std::size_t entries() { return static_cast<std::size_t>(GetParam()); }
};

INSTANTIATE_TEST_SUITE_P(Entries, UsageCapTest, testing::Values(9, 71, 295));

// Guards against refusals of requests below the cap: tokens that idle at entries, entries that
// refuse everything after one missing token, issuers that start with an empty bucket.
TEST_P(UsageCapTest, ServesUsualDemandInCalm)
{
    UsageSimulation simulation(entries(), fleetWorkspaces(78, UsualDemand), 1);
    simulation.runUntil(20s);
    EXPECT_LT(refusedPart(simulation, 3s, 4s), 0.01);
    EXPECT_LT(refusedPart(simulation, 4s, 20s), 0.01);
    for (const SimulatedWorkspace &it : simulation.workspaces()) {
        const int refused = countBetween(it.overCap, 4s, 20s) + countBetween(it.unknown, 4s, 20s);
        EXPECT_LE(refused, 0.01 * countBetween(it.arrivals, 4s, 20s) + 3)
                << it.workspace.name.value();
    }
    expectWithinCaps(simulation);
    std::cout << "calls per second " << static_cast<double>(simulation.calls()) / 20 << '\n';
}

// Guards against a deployment that refuses requests below the cap two seconds after its start.
TEST_P(UsageCapTest, ServesUsualDemandTwoSecondsAfterTheStart)
{
    UsageSimulation simulation(entries(), fleetWorkspaces(78, UsualDemand), 1);
    simulation.runUntil(4s);
    EXPECT_LT(refusedPart(simulation, 2s, 4s), 0.01);
}

/// Kills all entries at 8 s and starts them again from 9 to 10 s.
void restartAll(UsageSimulation &simulation)
{
    simulation.at(8s, [&simulation] {
        for (std::size_t i = 0; i < simulation.entryCount(); ++i) {
            simulation.kill(i);
            simulation.at(9s + milliseconds(i % 10 * 100),
                          [&simulation, i] { simulation.start(i); });
        }
    });
}

// Guards against a deployment that refuses many requests in the first seconds after all entries
// restarted.
TEST_P(UsageCapTest, ServesUsualDemandOneSecondAfterARestartOfAllEntries)
{
    UsageSimulation simulation(entries(), fleetWorkspaces(78, UsualDemand), 2);
    restartAll(simulation);
    simulation.runUntil(13s);
    EXPECT_LT(refusedPart(simulation, 11s, 13s), 0.05);
}

// Guards against a deployment that refuses most requests for seconds after all entries restarted.
TEST_P(UsageCapTest, ServesUsualDemandSoonAfterARestartOfAllEntries)
{
    UsageSimulation simulation(entries(), fleetWorkspaces(78, UsualDemand), 2);
    restartAll(simulation);
    simulation.runUntil(16s);
    EXPECT_LT(refusedPart(simulation, 12'600ms, 16s), 0.01);
    expectWithinCaps(simulation);
}

// Guards against an issuer of a workspace that was idle, which refuses its first requests.
TEST_P(UsageCapTest, ServesTheFirstRequestsOfAnIdleWorkspace)
{
    std::vector<SimulatedWorkspace> workspaces = fleetWorkspaces(8, UsualDemand);
    for (SimulatedWorkspace &it : workspaces) {
        it.demand = [rate = it.workspace.cap->perSecond](microseconds time) {
            return time < 10s ? 0 : UsualDemand * rate;
        };
    }
    UsageSimulation simulation(entries(), std::move(workspaces), 3);
    simulation.runUntil(13s);
    EXPECT_LT(refusedPart(simulation, 10s, 13s), 0.01);
}

// Guards against entries that refuse a workspace long after its demand exceeded the cap.
TEST_P(UsageCapTest, ServesUsualDemandSoonAfterASurge)
{
    std::vector<SimulatedWorkspace> workspaces = fleetWorkspaces(8, UsualDemand);
    for (SimulatedWorkspace &it : workspaces) {
        it.demand = [rate = it.workspace.cap->perSecond](microseconds time) {
            return (time > 6s && time < 12s ? 5 : 1) * UsualDemand * rate;
        };
    }
    UsageSimulation simulation(entries(), std::move(workspaces), 4);
    simulation.runUntil(16s);
    EXPECT_LT(refusedPart(simulation, 13s, 16s), 0.02);
    expectWithinCaps(simulation);
}

// Guards against a cap of which a part cannot be used, as with a fixed share for each entry.
TEST_P(UsageCapTest, UsesTheCapWhereverTheDemandIs)
{
    std::vector<SimulatedWorkspace> workspaces = greedyWorkspaces();
    workspaces[1].entryAt = [](microseconds, std::mt19937_64 &random) { return random() % 2; };
    workspaces[2].entryAt = [](microseconds time, std::mt19937_64 &random) {
        return static_cast<std::size_t>(time / 1s) * 3 + random() % 3;
    };
    workspaces[3].demand = [](microseconds time) { return (time / 1s) % 2 == 0 ? 2'100.0 : 200; };
    UsageSimulation simulation(entries(), std::move(workspaces), 5);
    simulation.runUntil(16s);
    for (const SimulatedWorkspace &it : simulation.workspaces()) {
        const double used = countBetween(it.runs, 6s, 16s) / (10 * it.workspace.cap->perSecond);
        EXPECT_GE(used, RequiredUse) << it.workspace.name.value();
        std::cout << it.workspace.name.value() << " used " << used << '\n';
    }
    expectWithinCaps(simulation);
}

// Guards against more requests than the cap while issuers are killed, stopped, suspended and
// replaced, and return.
TEST_P(UsageCapTest, KeepsCapsWhileIssuersFail)
{
    UsageSimulation simulation(entries(), greedyWorkspaces(), 6);
    for (int i = 0; i < 10; ++i) {
        const microseconds time = 4s + i * 2'200ms;
        simulation.at(time, [&simulation, i, time] {
            const std::size_t issuer = simulation.issuerOf(static_cast<std::size_t>(i % 4));
            if (i % 3 == 0) {
                simulation.kill(issuer);
                simulation.at(time + 1s + 100ms * i,
                              [&simulation, issuer] { simulation.start(issuer); });
            } else if (i % 3 == 1) {
                simulation.pause(issuer, 300ms + 300ms * i);
            } else {
                simulation.stop(issuer);
                simulation.at(time + 2s, [&simulation, issuer] { simulation.start(issuer); });
            }
        });
    }
    simulation.runUntil(28s);
    expectWithinCaps(simulation);
}

// Guards against a partition in which each side uses the whole cap.
TEST_P(UsageCapTest, KeepsCapsInPartitions)
{
    for (const std::size_t parts : { 3U, 2U }) {
        UsageSimulation simulation(entries(), greedyWorkspaces(), 7);
        std::set<std::size_t> side;
        for (std::size_t i = 0; i < entries() / parts; ++i) {
            side.insert(i);
        }
        simulation.at(6s, [&] { simulation.cut(side); });
        simulation.at(14s, [&] { simulation.cut({}); });
        simulation.runUntil(20s);
        expectWithinCaps(simulation);
    }
}

// Guards against a lowered cap that entries or the issuer exceed by what they held before.
TEST_P(UsageCapTest, KeepsALoweredCap)
{
    UsageSimulation simulation(entries(), greedyWorkspaces(), 8);
    simulation.at(8s, [&] { simulation.changeCap(3, UsageCap{ 30, 30 }); });
    simulation.runUntil(18s);
    EXPECT_LE(worstExcess(simulation.workspaces()[3], UsageCap{ 30, 30 }, 11s), 0);
}

// Guards against more calls to issuers than requests at the largest size, and against refusals
// there.
TEST(UsageLoadTest, CallsDoNotOutnumberRequestsOfManyWorkspaces)
{
    std::vector<SimulatedWorkspace> workspaces;
    workspaces.reserve(4'000);
    for (int i = 0; i < 4'000; ++i) {
        workspaces.push_back(workspaceOf("w" + std::to_string(i), 8, UsualDemand * 8));
    }
    UsageSimulation simulation(295, std::move(workspaces), 9);
    simulation.runUntil(4s);
    const std::uint64_t calls = simulation.calls();
    const std::uint64_t requests = simulation.requestsInCalls();
    simulation.runUntil(6s);
    EXPECT_LT(refusedPart(simulation, 4s, 6s), 0.01);
    int arrivals = 0;
    for (const SimulatedWorkspace &it : simulation.workspaces()) {
        arrivals += countBetween(it.arrivals, 4s, 6s);
    }
    EXPECT_LE(simulation.calls() - calls, static_cast<std::uint64_t>(arrivals));
    std::cout << simulation.calls() - calls << " calls with "
              << simulation.requestsInCalls() - requests << " workspaces in 2 s\n";
}

} // namespace
} // namespace Tarragon
