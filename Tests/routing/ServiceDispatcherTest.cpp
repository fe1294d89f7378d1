#include "routing/ServiceDispatcher.h"

#include "RoutingFixture.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <map>
#include <memory>

namespace Tarragon {
namespace {

using RoutingFixture::at;
using RoutingFixture::query;
using RoutingFixture::target;

class ServiceDispatcherTest : public testing::Test
{
protected:
    ServiceDispatcherTest() { m_dispatcher.setEntryCount(2); }

    void setTargets(const std::vector<DiscoveredTarget> &targets, double time)
    {
        m_registry.replaceAll(targets, at(time));
        m_dispatcher.setTargets(m_registry.targets());
    }
    Placement place(std::uint64_t object, double time)
    {
        return m_dispatcher.place(query(m_route, object), at(time));
    }
    std::string targetOf(std::uint64_t object, double time)
    {
        const Placement placement = place(object, time);
        return placement.target.has_value() ? placement.target->value() : "";
    }
    void finish(const std::string &id, SendOutcome outcome, double time,
                milliseconds duration = milliseconds(80))
    {
        m_dispatcher.onEnded(TargetId(id), m_route.name, outcome, duration, false, at(time));
    }
    static std::vector<DiscoveredTarget> targetsInNorth(int count)
    {
        std::vector<DiscoveredTarget> targets;
        targets.reserve(static_cast<std::size_t>(count));
        for (int i = 0; i < count; ++i) {
            targets.push_back(target("n" + std::to_string(i)));
        }
        return targets;
    }

    Route m_route = RoutingFixture::route();
    TargetRegistry m_registry;
    std::shared_ptr<TargetLimits> m_limits = std::make_shared<TargetLimits>();
    ServiceDispatcher m_dispatcher{
        RoutingFixture::locality(), RoutingFixture::service(), {}, m_limits
    };
};

// Guards against an ejection or readmission of a target that does not appear in the log.
TEST_F(ServiceDispatcherTest, ReportsEjectedAndReadmittedTargets)
{
    setTargets(targetsInNorth(8), 0);
    const std::string home = targetOf(17, 0);
    finish(home, SendOutcome::WrongTarget, 1);
    std::vector<TargetChange> changes = m_dispatcher.takeTargetChanges();
    ASSERT_EQ(changes.size(), 1u);
    EXPECT_EQ(changes[0].target, TargetId(home));
    EXPECT_EQ(changes[0].change, "suspended");
    m_dispatcher.onSent(TargetId(home), at(60));
    finish(home, SendOutcome::Answered, 60.1);
    changes = m_dispatcher.takeTargetChanges();
    ASSERT_EQ(changes.size(), 1u);
    EXPECT_EQ(changes[0].change, "trusted");
}

// Guards against objects spread over so many targets that none has them in its cache.
TEST_F(ServiceDispatcherTest, AnObjectHasTwoAffinityTargetsHoweverBusyTheyAre)
{
    setTargets(targetsInNorth(8), 0);
    std::set<std::string> homes;
    for (int i = 0; i < 40; ++i) {
        const Placement placement = place(17, 0);
        if (!placement.target.has_value()) {
            break;
        }
        homes.insert(placement.target->value());
        m_dispatcher.onSent(*placement.target, at(0));
    }
    EXPECT_EQ(homes.size(), 2u);
}

// Guards against entries that choose different affinity targets for an object.
TEST_F(ServiceDispatcherTest, EntriesChooseTheSameTargetsWithoutCommunication)
{
    setTargets(targetsInNorth(8), 0);
    ServiceDispatcher other(RoutingFixture::locality(), RoutingFixture::service());
    other.setTargets(m_registry.targets());
    for (std::uint64_t object = 0; object < 200; ++object) {
        EXPECT_EQ(place(object, 5).target, other.place(query(m_route, object), at(9)).target);
    }
}

// Guards against a move of more objects than a joined target can take over.
TEST_F(ServiceDispatcherTest, AJoinedTargetTakesOnlyItsShareOfObjects)
{
    setTargets(targetsInNorth(9), 0);
    std::map<std::uint64_t, std::string> before;
    for (std::uint64_t object = 0; object < 2'000; ++object) {
        before[object] = targetOf(object, 0);
    }
    setTargets(targetsInNorth(10), 1);
    int moved = 0;
    for (const auto &[object, id] : before) {
        moved += targetOf(object, 1) != id ? 1 : 0;
    }
    EXPECT_NEAR(moved, 200, 60);
}

// Guards against requests that wait at a busy affinity target until their deadline when the load
// exceeds the capacity of the object's targets: they are refused at once, with a retry time that
// fits the load.
TEST_F(ServiceDispatcherTest, RefusesRequestsThatAffinityTargetsCannotBeginInTime)
{
    setTargets(targetsInNorth(2), 0);
    Placement placement;
    int sent = 0;
    while ((placement = place(1, 0)).target.has_value()) {
        EXPECT_LE(placement.expectedWait, milliseconds(100));
        m_dispatcher.onSent(*placement.target, at(0));
        ASSERT_LT(++sent, 100);
    }
    EXPECT_GE(sent, 8);
    EXPECT_EQ(placement.reason, RefusalReason::Busy);
    EXPECT_GT(placement.retryAfter, microseconds(0));
    EXPECT_LE(placement.retryAfter, seconds(2));
}

// Guards against refusals that continue after the load has dropped.
TEST_F(ServiceDispatcherTest, PlacesRequestsAgainWhenTheLoadHasDropped)
{
    setTargets(targetsInNorth(2), 0);
    std::vector<TargetId> sent;
    Placement placement;
    while ((placement = place(1, 0)).target.has_value()) {
        m_dispatcher.onSent(*placement.target, at(0));
        sent.push_back(*placement.target);
    }
    for (const TargetId &it : sent) {
        finish(it.value(), SendOutcome::Answered, 0.2);
    }
    EXPECT_TRUE(place(1, 0.2).target.has_value());
}

// Guards against overload by requests of other entries, which are known only from the target's load
// reports.
TEST_F(ServiceDispatcherTest, ReportsOfATargetCountAgainstIt)
{
    setTargets(targetsInNorth(2), 0);
    const std::string home = targetOf(1, 0);
    m_dispatcher.onSent(TargetId(home), at(0));
    m_dispatcher.onReport(TargetId(home), LoadReport{ 4, 12, 4 }, at(0.1));
    finish(home, SendOutcome::Answered, 0.1);
    EXPECT_NE(targetOf(1, 0.1), home);
}

// Guards against requests to a cold target that no issuer has counted.
TEST_F(ServiceDispatcherTest, ColdTargetsNeedAPermitForEachRequest)
{
    DiscoveredTarget cold = target("n0");
    cold.coldRemaining = seconds(10);
    setTargets({ cold }, 0);
    for (int i = 0; i < 3'000; ++i) {
        const double time = 1 + i * 0.001;
        const Placement placement = place(static_cast<std::uint64_t>(i), time);
        ASSERT_TRUE(placement.target.has_value());
        EXPECT_TRUE(placement.needsPermit);
        EXPECT_EQ(placement.coldRate, RequestRate{ 10 });
        m_dispatcher.onSent(*placement.target, at(time));
        finish("n0", SendOutcome::Answered, time);
    }
    EXPECT_FALSE(place(1, 10.1).needsPermit);
    EXPECT_FALSE(place(1, 10.1).coldRate.has_value());
}

// Guards against requests that ask again and again for a target whose cold rate is used up.
TEST_F(ServiceDispatcherTest, ColdTargetWithoutPermitsIsLeftOut)
{
    DiscoveredTarget cold = target("n0");
    cold.coldRemaining = seconds(10);
    setTargets({ cold }, 0);
    m_limits->setExhaustedUntil(TargetId("n0"), at(2));
    EXPECT_FALSE(place(1, 1.9).target.has_value());
    EXPECT_EQ(place(1, 1.9).reason, RefusalReason::Cold);
    EXPECT_TRUE(place(1, 2).target.has_value());
}

// Guards against overload of cold targets by an entry that does not know the number of entries.
TEST_F(ServiceDispatcherTest, ColdTargetsGetNothingWhileTheNumberOfEntriesIsUnknown)
{
    m_dispatcher.setEntryCount(0);
    DiscoveredTarget cold = target("n0");
    cold.coldRemaining = seconds(10);
    setTargets({ cold }, 0);
    EXPECT_FALSE(place(1, 1).target.has_value());
}

// Guards against sending to a target that fails requests while its status checks pass.
TEST_F(ServiceDispatcherTest, FailingTargetIsEjectedAndProbed)
{
    setTargets(targetsInNorth(6), 0);
    const std::string failing = targetOf(3, 0);
    for (int i = 0; i < 4; ++i) {
        m_dispatcher.onSent(TargetId(failing), at(0.1 * i));
        finish(failing, SendOutcome::Broken, 0.1 * i);
    }
    EXPECT_NE(targetOf(3, 0.4), failing);
    EXPECT_EQ(targetOf(3, 2), failing);
    m_dispatcher.onSent(TargetId(failing), at(2));
    EXPECT_NE(targetOf(3, 2.01), failing) << "one probe request at a time";
    finish(failing, SendOutcome::Answered, 2.1);
    EXPECT_EQ(targetOf(3, 2.2), failing);
}

// Guards against a service without targets because all of them are ejected for a common cause.
TEST_F(ServiceDispatcherTest, NotAllTargetsAreEjected)
{
    setTargets(targetsInNorth(3), 0);
    for (int i = 0; i < 30; ++i) {
        const std::string id = "n" + std::to_string(i % 3);
        m_dispatcher.onSent(TargetId(id), at(0));
        finish(id, SendOutcome::Broken, 0.01 * i);
    }
    EXPECT_TRUE(place(1, 0.3).target.has_value());
}

// Guards against a slow target that keeps getting the requests for its objects.
TEST_F(ServiceDispatcherTest, SlowTargetLosesItsObjectsToTheOtherAffinityTarget)
{
    setTargets(targetsInNorth(4), 0);
    for (int i = 0; i < 40; ++i) {
        finish("n" + std::to_string(i % 4), SendOutcome::Answered, 0.01 * i, milliseconds(80));
    }
    const std::string slow = targetOf(5, 0.5);
    for (int i = 0; i < 20; ++i) {
        for (const char *id : { "n0", "n1", "n2", "n3" }) {
            const milliseconds duration(id == slow ? 500 : 80);
            finish(id, SendOutcome::Answered, 0.5 + 0.01 * i, duration);
        }
    }
    EXPECT_NE(targetOf(5, 0.8), slow);
}

// Guards against requests handled in regions that the route does not allow.
TEST_F(ServiceDispatcherTest, RequestsStayInAllowedRegions)
{
    setTargets({ target("n0"), target("n1"), target("s0", "s1") }, 0);
    m_route.allowedRegions = { RegionId("south") };
    for (std::uint64_t object = 0; object < 50; ++object) {
        EXPECT_EQ(targetOf(object, 0), "s0");
    }
    m_route.allowedRegions = { RegionId("west") };
    EXPECT_EQ(place(1, 0).reason, RefusalReason::NoTarget);
}

// Guards against large responses that cross failure domains and regions, which loads links and
// costs round trips, although near targets have capacity.
TEST_F(ServiceDispatcherTest, LargeResponsesComeFromTheLocalDomainWhileItHasCapacity)
{
    EntryLocality place = RoutingFixture::locality();
    place.regionOfDomain[FailureDomainId("n2")] = RegionId("north");
    ServiceDispatcher dispatcher(place, RoutingFixture::service());
    m_registry.replaceAll({ target("a"), target("b", "n2"), target("c", "s1"), target("d", "s1"),
                            target("e", "s1") },
                          at(0));
    dispatcher.setTargets(m_registry.targets());
    for (int i = 0; i < 100; ++i) {
        dispatcher.onResponseSize(m_route.name, ByteCount{ 90'000 });
    }
    std::set<std::string> used;
    for (std::uint64_t object = 0; object < 100; ++object) {
        EXPECT_EQ(dispatcher.place(query(m_route, object), at(0)).target, TargetId("a"));
    }
    for (std::uint64_t object = 0; object < 100; ++object) {
        const Placement placement = dispatcher.place(query(m_route, object), at(0));
        if (placement.target.has_value()) {
            used.insert(placement.target->value());
            dispatcher.onSent(*placement.target, at(0));
        }
    }
    EXPECT_TRUE(used.contains("b")) << "the local region is next";
    EXPECT_GE(used.size(), 3u) << "the preferred region adds a candidate";
}

// Guards against a retry at a target to which the request has already been sent.
TEST_F(ServiceDispatcherTest, TriedTargetsAreNotUsedAgain)
{
    setTargets(targetsInNorth(3), 0);
    PlacementQuery next = query(m_route, 1);
    std::set<TargetId> used;
    for (int i = 0; i < 3; ++i) {
        const Placement placement = m_dispatcher.place(next, at(0));
        ASSERT_TRUE(placement.target.has_value());
        EXPECT_TRUE(used.insert(*placement.target).second);
        next.triedTargets = used;
    }
    EXPECT_FALSE(m_dispatcher.place(next, at(0)).target.has_value());
}

// Guards against new requests to leaving targets.
TEST_F(ServiceDispatcherTest, LeavingTargetsGetNothing)
{
    DiscoveredTarget leaving = target("n0");
    leaving.isDraining = true;
    setTargets({ leaving }, 0);
    EXPECT_EQ(place(1, 0).reason, RefusalReason::NoTarget);
}

// Guards against requests sent to a target during the backoff that it requested. A fully loaded
// affinity target rejects requests for two seconds. Its objects go to their other affinity target;
// when both are in backoff, callers are refused at once with the time at which the first one
// accepts requests again.
TEST_F(ServiceDispatcherTest, TargetsInBackoffGetNothingAndCallersGetTheRetryTime)
{
    setTargets(targetsInNorth(8), 0);
    const std::string first = targetOf(17, 0);
    EXPECT_EQ(m_dispatcher.onBackoffRequested(TargetId(first), milliseconds(2'000), at(0)),
              milliseconds(2'000));
    finish(first, SendOutcome::Declined, 0);
    const std::string second = targetOf(17, 0.1);
    EXPECT_NE(second, first);
    m_dispatcher.onBackoffRequested(TargetId(second), milliseconds(3'000), at(0.5));
    const Placement refused = place(17, 0.6);
    ASSERT_FALSE(refused.target.has_value());
    EXPECT_EQ(refused.reason, RefusalReason::Busy);
    EXPECT_GE(refused.retryAfter, milliseconds(1'400));
    EXPECT_LE(refused.retryAfter, milliseconds(1'800));
    EXPECT_EQ(targetOf(17, 2.01), first);
    EXPECT_TRUE(m_dispatcher.takeTargetChanges().empty());
}

// Guards against a target that excludes itself for days by a long backoff, and against refusal of
// requests without an object although other targets have capacity.
TEST_F(ServiceDispatcherTest, BackoffIsBoundedAndAppliesToOneTarget)
{
    setTargets(targetsInNorth(3), 0);
    EXPECT_EQ(m_dispatcher.onBackoffRequested(TargetId("n0"), milliseconds(100'000'000), at(0)),
              milliseconds(30'000));
    EXPECT_EQ(m_dispatcher.onBackoffRequested(TargetId("n1"), milliseconds(-5'000), at(0)),
              milliseconds(0));
    for (std::uint64_t request = 0; request < 100; ++request) {
        PlacementQuery anywhere = query(m_route, request);
        anywhere.objectHash.reset();
        const Placement placement = m_dispatcher.place(anywhere, at(1));
        ASSERT_TRUE(placement.target.has_value());
        EXPECT_NE(*placement.target, TargetId("n0"));
    }
}

// Guards against new requests, between two updates of the registry, to a target that has announced
// that it is leaving.
TEST_F(ServiceDispatcherTest, TargetThatAnnouncesLeavingGetsNothingAfterwards)
{
    setTargets(targetsInNorth(8), 0);
    const std::string home = targetOf(17, 0);
    m_dispatcher.onLeavingAnnounced(TargetId(home), 2);
    EXPECT_EQ(targetOf(17, 0), home);
    m_dispatcher.onLeavingAnnounced(TargetId(home), 1);
    EXPECT_NE(targetOf(17, 0), home);
    EXPECT_EQ(m_dispatcher.takeLeavingTargets().size(), 1u);
    EXPECT_EQ(m_dispatcher.takeLeavingTargets().size(), 0u);
    m_dispatcher.onLeavingAnnounced(TargetId("unregistered"), 1);
    EXPECT_EQ(m_dispatcher.takeLeavingTargets().size(), 1u);
}

} // namespace
} // namespace Tarragon
