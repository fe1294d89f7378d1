// Runs the dissemination under seeded schedules in virtual time. A failing seed is printed and can
// be repeated alone with
//   TARRAGON_SEED=<seed> build/bin/test-peer --gtest_filter=<test>

#include "FeedSimulation.h"

#include <gtest/gtest.h>

#include <cstdlib>
#include <iostream>

namespace Tarragon {
namespace {

constexpr int Domains = 6;
constexpr std::uint64_t Seeds = 400;
constexpr microseconds Second{ 1'000'000 };

/// Returns network faults under which a version must still be in force within the bound after its
/// acceptance.
FeedFaults lossyNetwork()
{
    FeedFaults faults;
    faults.loss = 0.05;
    faults.duplication = 0.05;
    faults.delaySpread = milliseconds(60);
    faults.corruption = 0.02;
    return faults;
}

/// Returns a random node that is running.
template<typename Rules>
std::size_t liveNode(FeedSimulation<Rules> &simulation)
{
    std::size_t node = 0;
    do {
        node = static_cast<std::size_t>(
                simulation.uniform(0, static_cast<std::int64_t>(simulation.size()) - 1));
    } while (!simulation.isAlive(node));
    return node;
}

template<typename Rules>
microseconds randomTime(FeedSimulation<Rules> &simulation, microseconds low, microseconds high)
{
    return microseconds(simulation.uniform(low.count(), high.count()));
}

/// Schedules acceptances and plan changes at random times.
template<typename Rules>
void addChanges(FeedSimulation<Rules> &simulation, microseconds until)
{
    for (microseconds time = Second; time < until;
         time += randomTime(simulation, microseconds(50'000), 2 * Second))
        simulation.at(time, [&simulation] { simulation.accept(liveNode(simulation), true); });
    for (microseconds time = Second; time < until;
         time += randomTime(simulation, microseconds(50'000), 2 * Second))
        simulation.at(time, [&simulation] { simulation.changePlan(liveNode(simulation)); });
}

struct Result
{
    std::vector<std::string> violations;
    microseconds slowest{ 0 };
    std::vector<std::size_t> storeCalls;
};

using Scenario = Result (*)(std::uint64_t seed);

template<typename Rules>
Result finish(FeedSimulation<Rules> &simulation, microseconds until)
{
    simulation.runUntil(until);
    return { simulation.violations(), simulation.slowest(), simulation.storeCalls() };
}

/// The network loses, duplicates and delays messages, and the store is slow.
template<typename Rules>
Result lossAndSlowStore(std::uint64_t seed)
{
    FeedFaults faults = lossyNetwork();
    faults.storeDelay = milliseconds(static_cast<std::int64_t>(seed % 300));
    FeedSimulation<Rules> simulation(seed, Domains, 1 + static_cast<int>(seed % 4), faults);
    addChanges(simulation, 6 * Second);
    return finish(simulation, 10 * Second);
}

/// Four times, a random watcher is killed or frozen while the store is available.
template<typename Rules>
Result watchersFail(std::uint64_t seed)
{
    FeedSimulation<Rules> simulation(seed, Domains, 3 + static_cast<int>(seed % 3), lossyNetwork());
    addChanges(simulation, 10 * Second);
    for (int i = 0; i < 4; ++i) {
        simulation.at(randomTime(simulation, Second, 9 * Second), [&simulation] {
            std::size_t node = liveNode(simulation);
            while (!simulation.isWatcher(node))
                node = liveNode(simulation);
            if (simulation.chance(0.5)) {
                simulation.kill(node);
                if (simulation.chance(0.5)) {
                    simulation.at(simulation.now().time_since_epoch() + Second,
                                  [&simulation, node] { simulation.start(node); });
                }
            } else {
                simulation.freeze(node, randomTime(simulation, Second / 10, 4 * Second));
            }
        });
    }
    return finish(simulation, 17 * Second);
}

/// Some domains, but not all, lose their connection to the store: calls get neither a result nor an
/// error. They still reach their peers.
template<typename Rules>
Result domainsCutFromStore(std::uint64_t seed)
{
    FeedSimulation<Rules> simulation(seed, Domains, 1 + static_cast<int>(seed % 4), lossyNetwork());
    addChanges(simulation, 8 * Second);
    for (int domain = 0; domain < Domains - 1; ++domain) {
        if (!simulation.chance(0.5))
            continue;
        simulation.at(randomTime(simulation, microseconds(0), 6 * Second),
                      [&simulation, domain] { simulation.cutFromStore(domain, true); });
    }
    return finish(simulation, 12 * Second);
}

/// The store fails right after an acceptance, and the accepting instance keeps running.
template<typename Rules>
Result storeGoneAfterAcceptance(std::uint64_t seed)
{
    FeedSimulation<Rules> simulation(seed, Domains, 1 + static_cast<int>(seed % 4), lossyNetwork());
    simulation.at(Second, [&simulation] { simulation.accept(liveNode(simulation), true); });
    simulation.at(3 * Second, [&simulation] {
        simulation.accept(liveNode(simulation), true);
        simulation.setStoreUp(false);
    });
    return finish(simulation, 8 * Second);
}

/// The store fails right after an acceptance, and the accepting instance is killed before it can
/// offer the version. No instance can get the version until the store is available again, so the
/// bound counts from then.
template<typename Rules>
Result storeAndAcceptorGone(std::uint64_t seed)
{
    FeedSimulation<Rules> simulation(seed, Domains, 2 + static_cast<int>(seed % 3), lossyNetwork());
    simulation.at(Second, [&simulation] { simulation.accept(liveNode(simulation), true); });
    simulation.at(3 * Second, [&simulation] {
        simulation.accept(liveNode(simulation), false);
        simulation.setStoreUp(false);
    });
    const microseconds back = 3 * Second + randomTime(simulation, Second, 20 * Second);
    simulation.at(back, [&simulation] { simulation.setStoreUp(true); });
    return finish(simulation, back + 5 * Second);
}

/// All watchers of all domains are killed at once, as by a common fault, and an instance that
/// accepts a version afterwards is killed before it can offer it. Only the store has the version.
template<typename Rules>
Result allWatchersKilled(std::uint64_t seed)
{
    FeedSimulation<Rules> simulation(seed, Domains, 3 + static_cast<int>(seed % 3), lossyNetwork());
    simulation.at(Second, [&simulation] { simulation.accept(liveNode(simulation), true); });
    simulation.at(6 * Second, [&simulation] {
        for (std::size_t node = 0; node < simulation.size(); ++node) {
            if (simulation.isWatcher(node))
                simulation.kill(node);
        }
    });
    simulation.at(6 * Second + randomTime(simulation, microseconds(0), 2 * Second),
                  [&simulation] { simulation.accept(liveNode(simulation), false); });
    return finish(simulation, 13 * Second);
}

/// A domain is cut off from all other domains and the store. For its instances the bound counts
/// from the end of the partition.
template<typename Rules>
Result domainIsolated(std::uint64_t seed)
{
    FeedSimulation<Rules> simulation(seed, Domains, 1 + static_cast<int>(seed % 4), lossyNetwork());
    const int domain = static_cast<int>(seed) % Domains;
    simulation.at(2 * Second, [&simulation, domain] { simulation.isolate(domain, true); });
    for (int i = 0; i < 3; ++i) {
        simulation.at(randomTime(simulation, 2 * Second, 8 * Second), [&simulation, domain] {
            std::size_t node = liveNode(simulation);
            while (simulation.domainOf(node) == domain)
                node = liveNode(simulation);
            simulation.accept(node, true);
        });
    }
    const microseconds healed = randomTime(simulation, 8 * Second, 20 * Second);
    simulation.at(healed, [&simulation, domain] { simulation.isolate(domain, false); });
    return finish(simulation, healed + 5 * Second);
}

/// All instances of a domain are replaced during an outage of the store. The new ones must get the
/// newest version from other domains.
template<typename Rules>
Result domainReplacedInOutage(std::uint64_t seed)
{
    FeedSimulation<Rules> simulation(seed, Domains, 1 + static_cast<int>(seed % 4), lossyNetwork());
    const int domain = static_cast<int>(seed) % Domains;
    addChanges(simulation, 3 * Second);
    simulation.at(7 * Second, [&simulation] { simulation.setStoreUp(false); });
    for (std::size_t node = 0; node < simulation.size(); ++node) {
        if (simulation.domainOf(node) != domain)
            continue;
        const microseconds killed = randomTime(simulation, 7 * Second, 9 * Second);
        simulation.at(killed, [&simulation, node] { simulation.kill(node); });
        simulation.at(killed + randomTime(simulation, microseconds(0), 3 * Second),
                      [&simulation, node] { simulation.start(node); });
    }
    // Checks all domains: the others must keep the newest generation during the outage, too.
    Result result = finish(simulation, 16 * Second);
    for (std::size_t node = 0; node < simulation.size(); ++node) {
        if (simulation.generationOf(node) != simulation.accepted()) {
            result.violations.push_back("an instance is at generation "
                                        + std::to_string(simulation.generationOf(node).value())
                                        + " after the replacement of a domain, expected "
                                        + std::to_string(simulation.accepted().value()));
        }
    }
    return result;
}

void expectInvariants(const char *name, Scenario scenario)
{
    std::uint64_t first = 1;
    std::uint64_t last = Seeds;
    // The variable is only set by the user before the start, so getenv() is safe here.
    if (const char *seed = std::getenv("TARRAGON_SEED")) // NOLINT(concurrency-mt-unsafe)
        first = last = std::strtoull(seed, nullptr, 10);
    microseconds slowest{ 0 };
    std::size_t mostCalls = 0;
    for (std::uint64_t seed = first; seed <= last; ++seed) {
        const Result result = scenario(seed);
        slowest = std::max(slowest, result.slowest);
        for (const std::size_t calls : result.storeCalls)
            mostCalls = std::max(mostCalls, calls);
        for (const std::string &violation : result.violations)
            ADD_FAILURE() << "TARRAGON_SEED=" << seed << ": " << violation;
        if (!result.violations.empty())
            break;
    }
    std::cout << name << ": seeds=" << first << ".." << last
              << " slowest_ms=" << slowest.count() / 1000
              << " most_store_calls_of_a_domain=" << mostCalls << "\n";
    EXPECT_LE(slowest, FeedSimulation<DisseminationRules>::Bound);
}

/// Whether the scenario leads to a violation with one of the seeds.
bool findsViolation(Scenario scenario)
{
    for (std::uint64_t seed = 1; seed <= Seeds; ++seed) {
        if (!scenario(seed).violations.empty())
            return true;
    }
    return false;
}

TEST(Dissemination, ReachesAllOverALossyNetworkWithASlowStore)
{
    expectInvariants("lossAndSlowStore", &lossAndSlowStore<DisseminationRules>);
}

TEST(Dissemination, ReachesAllWhileWatchersFail)
{
    expectInvariants("watchersFail", &watchersFail<DisseminationRules>);
}

TEST(Dissemination, ReachesDomainsThatLostTheStore)
{
    expectInvariants("domainsCutFromStore", &domainsCutFromStore<DisseminationRules>);
}

TEST(Dissemination, ReachesAllWhenTheStoreFailsRightAfterAnAcceptance)
{
    expectInvariants("storeGoneAfterAcceptance", &storeGoneAfterAcceptance<DisseminationRules>);
}

TEST(Dissemination, CatchesUpWhenTheStoreReturnsWithAVersionThatNoInstanceHas)
{
    expectInvariants("storeAndAcceptorGone", &storeAndAcceptorGone<DisseminationRules>);
}

TEST(Dissemination, ReachesAllWhenAllWatchersAreKilledAtOnce)
{
    expectInvariants("allWatchersKilled", &allWatchersKilled<DisseminationRules>);
}

TEST(Dissemination, CatchesUpAfterTheIsolationOfADomain)
{
    expectInvariants("domainIsolated", &domainIsolated<DisseminationRules>);
}

TEST(Dissemination, ReachesADomainReplacedDuringAnOutageOfTheStore)
{
    expectInvariants("domainReplacedInOutage", &domainReplacedInOutage<DisseminationRules>);
}

struct WithoutOrder : DisseminationRules
{
    static constexpr bool AdoptOnlyGreater = false;
};

struct WithoutRepair : DisseminationRules
{
    static constexpr bool RepairByHeartbeat = false;
};

struct WithoutVerification : DisseminationRules
{
    static constexpr bool VerifyDigests = false;
};

struct WithoutReplacedWatchers : DisseminationRules
{
    static constexpr bool ReplaceWatchers = false;
};

struct WithoutOtherDomains : DisseminationRules
{
    static constexpr bool CrossDomains = false;
};

// The following tests disable one mechanism each and expect a violation. They show that the
// schedules detect the absence of each mechanism.

TEST(DisseminationMechanisms, ALateAnswerRevertsAVersionWithoutTheOrder)
{
    EXPECT_TRUE(findsViolation(&lossAndSlowStore<WithoutOrder>));
}

TEST(DisseminationMechanisms, ALostOfferIsNotRepairedWithoutVersionsInHeartbeats)
{
    EXPECT_TRUE(findsViolation(&storeGoneAfterAcceptance<WithoutRepair>));
}

TEST(DisseminationMechanisms, AWrongTextComesIntoForceWithoutVerification)
{
    EXPECT_TRUE(findsViolation(&lossAndSlowStore<WithoutVerification>));
}

TEST(DisseminationMechanisms, KilledWatchersLeaveTheirDomainsBehindWithoutReplacement)
{
    EXPECT_TRUE(findsViolation(&allWatchersKilled<WithoutReplacedWatchers>));
}

TEST(DisseminationMechanisms, ADomainWithoutStoreStaysBehindWithoutOtherDomains)
{
    EXPECT_TRUE(findsViolation(&domainsCutFromStore<WithoutOtherDomains>));
}

} // namespace
} // namespace Tarragon
