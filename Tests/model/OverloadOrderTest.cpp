// Simulates a service with too little capacity for two kinds of requests, of which the less urgent
// has the longer latency goal.

#include "model/ModelRun.h"

#include <gtest/gtest.h>

namespace Tarragon {
namespace {

/// Factor by which requests exceed the capacity of the service.
constexpr double Overload = 1.5;
constexpr double ServedTolerance = 0.05;
constexpr double BenefitTolerance = 0.15;

/// A load in which the more urgent kind makes up a part of the work.
struct OverloadCase
{
    double urgentPart = 0;
    milliseconds urgentWork{ 0 };
    milliseconds otherWork{ 0 };
    /// Number of objects that requests are about; 0 if they name none.
    int objects = 0;
};

LoadPlan planOf(const OverloadCase &load)
{
    const FailureDomainId domain("thess-a");
    LoadPlan plan;
    plan.name = "overload";
    plan.domains = { ModelDomain{ domain, RegionId("gr-north"), 3 } };
    ModelService service;
    service.id = ServiceId("catalog");
    service.targets[domain] = 8;
    service.slots = SlotCount{ 4 };
    service.queue = 24;
    plan.services[service.id] = service;
    const double slots = 32;
    const auto route = [&](const char *name, int priority, double part, milliseconds work,
                           milliseconds goal) {
        ModelRoute result;
        result.name = RouteName(name);
        result.service = service.id;
        result.work = work;
        result.goal = goal;
        result.deadline = milliseconds(2'000);
        result.objects = load.objects;
        result.priority = priority;
        result.perSecond = Overload * part * slots / inSeconds(work);
        return result;
    };
    plan.routes = { route("urgent", 0, load.urgentPart, load.urgentWork, milliseconds(300)),
                    route("other", 1, 1 - load.urgentPart, load.otherWork, milliseconds(1'200)) };
    return plan;
}

double servedPart(const LoadTally &tally)
{
    return static_cast<double>(tally.inGoal + tally.late) / tally.asked;
}

class OverloadOrderTest : public testing::TestWithParam<OverloadCase>
{};

// Guards against a less urgent kind of request that is served better than a more urgent one,
// because its goal allows longer waits.
TEST_P(OverloadOrderTest, UrgentRequestsAreServedAtLeastAsWell)
{
    for (std::uint64_t seed = 1; seed <= 3; ++seed) {
        LoadResult result = ModelRun<ServiceDispatcher>(
                                    planOf(GetParam()), seed,
                                    [](const EntryLocality &place, const HostedService &service) {
                                        return std::make_unique<ServiceDispatcher>(place, service);
                                    })
                                    .run("dispatcher");
        const LoadTally &urgent = result.routes[RouteName("urgent")];
        const LoadTally &other = result.routes[RouteName("other")];
        const std::string run = "seed " + std::to_string(seed) + ": served "
                                + std::to_string(servedPart(urgent)) + " and "
                                + std::to_string(servedPart(other)) + ", in goal "
                                + std::to_string(urgent.inGoalFraction()) + " and "
                                + std::to_string(other.inGoalFraction());
        RecordProperty("seed_" + std::to_string(seed), run);
        EXPECT_GE(servedPart(urgent), servedPart(other) - ServedTolerance) << run;
        EXPECT_GE(urgent.inGoalFraction(), other.inGoalFraction() - BenefitTolerance) << run;
    }
}

INSTANTIATE_TEST_SUITE_P(Loads, OverloadOrderTest,
                         testing::Values(OverloadCase{ 0.5, milliseconds(120), milliseconds(120) },
                                         OverloadCase{ 0.2, milliseconds(120), milliseconds(120) },
                                         OverloadCase{ 0.8, milliseconds(120), milliseconds(120) },
                                         OverloadCase{ 0.5, milliseconds(160), milliseconds(40) },
                                         OverloadCase{ 0.5, milliseconds(40), milliseconds(160) },
                                         OverloadCase{ 0.5, milliseconds(120), milliseconds(120),
                                                       200 }));

} // namespace
} // namespace Tarragon
