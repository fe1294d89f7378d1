#include "routing/TargetRegistry.h"

#include "RoutingFixture.h"

#include <gmock/gmock.h>

namespace Tarragon {
namespace {

using RoutingFixture::at;
using RoutingFixture::target;

class TargetRegistryTest : public testing::Test
{
protected:
    void addTargets(int count)
    {
        std::vector<DiscoveredTarget> targets;
        targets.reserve(static_cast<std::size_t>(count));
        for (int i = 0; i < count; ++i) {
            targets.push_back(target("t" + std::to_string(i), i % 2 == 0 ? "n1" : "s1"));
        }
        m_registry.replaceAll(targets, at(0));
    }
    bool knows(const std::string &id) const { return m_registry.targets().contains(TargetId(id)); }
    TargetAvailability availability(const std::string &id) const
    {
        return m_registry.targets().at(TargetId(id)).availability;
    }

    TargetRegistry m_registry;
};

// Guards against new requests to a target that has announced its stop or left.
TEST_F(TargetRegistryTest, LeavingTargetsGetNoWorkAtOnce)
{
    addTargets(6);
    DiscoveredTarget leaving = target("t0");
    leaving.isDraining = true;
    m_registry.set(leaving, at(1));
    EXPECT_EQ(availability("t0"), TargetAvailability::Leaving);
    m_registry.remove(TargetId("t1"), at(1));
    EXPECT_FALSE(knows("t1"));
}

// Guards against losing all targets because their registrations expired during a store outage.
TEST_F(TargetRegistryTest, TargetsOfExpiredRegistrationsAreRetainedForTheGracePeriod)
{
    addTargets(3);
    m_registry.onStoreUnavailable(at(1));
    m_registry.onStoreAvailable(at(10));
    m_registry.replaceAll({ target("t0") }, at(10));
    EXPECT_TRUE(knows("t1"));
    EXPECT_EQ(availability("t1"), TargetAvailability::Ready);
    m_registry.set(target("t1", "s1"), at(11.9));
    m_registry.removeExpired(at(13));
    EXPECT_TRUE(knows("t1"));
    EXPECT_FALSE(knows("t2"));
}

// Guards against sending to a target that left while only this entry was disconnected from the
// store: retained targets must be removed before the platform's bound of 3 s after the connection
// has returned.
TEST_F(TargetRegistryTest, RetainedTargetsAreRemovedWithinThreeSecondsOfTheStoresReturn)
{
    addTargets(3);
    m_registry.onStoreUnavailable(at(1));
    m_registry.onStoreAvailable(at(10.5));
    m_registry.replaceAll({ target("t0"), target("t1", "s1") }, at(10.5));
    m_registry.removeExpired(at(12.9));
    EXPECT_FALSE(knows("t2"));
}

// Guards against retaining a draining target because of a store outage.
TEST_F(TargetRegistryTest, DrainingTargetsAreNeverRetained)
{
    addTargets(3);
    DiscoveredTarget leaving = target("t0");
    leaving.isDraining = true;
    m_registry.set(leaving, at(1));
    m_registry.onStoreUnavailable(at(1));
    m_registry.onStoreAvailable(at(10));
    m_registry.replaceAll({ target("t1", "s1"), target("t2") }, at(10));
    EXPECT_FALSE(knows("t0"));
}

// Guards against losing targets by a store outage that this entry did not notice: most
// registrations vanish at the same time.
TEST_F(TargetRegistryTest, TargetsWhoseRegistrationsVanishTogetherAreRetained)
{
    addTargets(6);
    for (int i = 0; i < 6; ++i) {
        m_registry.remove(TargetId("t" + std::to_string(i)), at(1));
    }
    const std::size_t kept = m_registry.targets().size();
    EXPECT_GE(kept, 3u);
    for (int i = 0; i < 6; ++i) {
        m_registry.set(target("t" + std::to_string(i), i % 2 == 0 ? "n1" : "s1"), at(2));
    }
    m_registry.removeExpired(at(10));
    EXPECT_EQ(m_registry.targets().size(), 6u);
}

// Guards against judging a restarted target by the history of its previous process.
TEST_F(TargetRegistryTest, RestartUnderTheSameIdIsDetected)
{
    addTargets(1);
    const int before = m_registry.targets().at(TargetId("t0")).restartCount;
    DiscoveredTarget restarted = target("t0");
    restarted.startTimeMs = 2;
    restarted.coldRemaining = seconds(3);
    m_registry.set(restarted, at(5));
    const KnownTarget &known = m_registry.targets().at(TargetId("t0"));
    EXPECT_EQ(known.restartCount, before + 1);
    EXPECT_EQ(known.coldUntil, at(8));
}

// Guards against requests to an evacuated failure domain, and against overload of its targets when
// the evacuation ends.
TEST_F(TargetRegistryTest, EvacuatedDomainsGetNothingAndReturnCold)
{
    addTargets(2);
    m_registry.setEvacuated({ FailureDomainId("n1") }, at(1));
    EXPECT_EQ(availability("t0"), TargetAvailability::Evacuated);
    EXPECT_EQ(availability("t1"), TargetAvailability::Ready);
    m_registry.set(target("t4", "n1"), at(2));
    EXPECT_EQ(availability("t4"), TargetAvailability::Evacuated);
    m_registry.setEvacuated({}, at(9));
    EXPECT_EQ(availability("t0"), TargetAvailability::Ready);
    EXPECT_GT(m_registry.targets().at(TargetId("t0")).coldUntil, at(9));
}

// Guards against using a target again that announced that it is leaving while its registration had
// expired.
TEST_F(TargetRegistryTest, LeavingAnnouncementWithoutARegistrationIsKept)
{
    addTargets(6);
    m_registry.remove(TargetId("t1"), at(1));
    m_registry.onLeavingAnnounced(TargetId("t1"), 2, at(1));
    // A late announcement of the previous process does not replace that of the current one.
    m_registry.onLeavingAnnounced(TargetId("t1"), 1, at(1));
    DiscoveredTarget again = target("t1", "s1");
    again.startTimeMs = 2;
    m_registry.set(again, at(2));
    EXPECT_EQ(availability("t1"), TargetAvailability::Leaving);
    again.startTimeMs = 3;
    m_registry.set(again, at(3));
    EXPECT_EQ(availability("t1"), TargetAvailability::Ready);
}

// Guards against using a target again that had left before the store was restored from a copy, and
// against losing targets that the copy does not have yet.
TEST_F(TargetRegistryTest, RestoredStoreBringsNoRemovedTargetBack)
{
    addTargets(4);
    m_registry.remove(TargetId("t0"), at(1));
    m_registry.remove(TargetId("t1"), at(1));
    m_registry.replaceAllRestored({ target("t0"), target("t1", "s1"), target("t2") }, at(2));
    EXPECT_FALSE(knows("t0"));
    EXPECT_TRUE(knows("t3")) << "it may register again";
    m_registry.set(target("t1", "s1"), at(3));
    EXPECT_TRUE(knows("t1")) << "it has registered again";
    m_registry.removeExpired(at(5));
    EXPECT_FALSE(knows("t3"));
    EXPECT_FALSE(knows("t0"));
    m_registry.removeExpired(at(12.1));
    EXPECT_TRUE(knows("t0")) << "its registration has not expired";
}

// Guards against using a draining target again because an earlier write of it takes effect late.
TEST_F(TargetRegistryTest, DrainingHoldsUntilTheTargetRestarts)
{
    addTargets(6);
    DiscoveredTarget leaving = target("t0");
    leaving.startTimeMs = 1;
    m_registry.set(leaving, at(1));
    leaving.isDraining = true;
    m_registry.set(leaving, at(2));
    leaving.isDraining = false;
    m_registry.set(leaving, at(3));
    EXPECT_EQ(availability("t0"), TargetAvailability::Leaving);
    m_registry.remove(TargetId("t0"), at(4));
    m_registry.set(leaving, at(5));
    EXPECT_EQ(availability("t0"), TargetAvailability::Leaving);
    leaving.startTimeMs = 2;
    m_registry.set(leaving, at(6));
    EXPECT_EQ(availability("t0"), TargetAvailability::Ready);
}

// Guards against using a target without a start time again that announced that it is leaving while
// it was not registered.
TEST_F(TargetRegistryTest, LeavingAnnouncementHoldsWithoutAStartTime)
{
    addTargets(6);
    m_registry.remove(TargetId("t1"), at(1));
    m_registry.onLeavingAnnounced(TargetId("t1"), 0, at(1));
    DiscoveredTarget again = target("t1", "s1");
    again.startTimeMs = 0;
    m_registry.set(again, at(2));
    EXPECT_EQ(availability("t1"), TargetAvailability::Leaving);
}

// Guards against using a target again that has announced that it is leaving, because its
// registration expired and was written again without the announcement.
TEST_F(TargetRegistryTest, LeavingAnnouncementHoldsUntilTheTargetRestarts)
{
    addTargets(6);
    m_registry.onLeavingAnnounced(TargetId("t1"), 1, at(1));
    EXPECT_EQ(availability("t1"), TargetAvailability::Leaving);
    m_registry.remove(TargetId("t1"), at(2));
    m_registry.removeExpired(at(2));
    DiscoveredTarget again = target("t1", "s1");
    m_registry.set(again, at(3));
    EXPECT_EQ(availability("t1"), TargetAvailability::Leaving);
    again.startTimeMs = 2;
    m_registry.set(again, at(4));
    EXPECT_EQ(availability("t1"), TargetAvailability::Ready);
    // A late announcement of the previous process does not apply to the current one.
    m_registry.onLeavingAnnounced(TargetId("t1"), 1, at(5));
    EXPECT_EQ(availability("t1"), TargetAvailability::Ready);
}

} // namespace
} // namespace Tarragon
