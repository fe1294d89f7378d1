// Load: 15 % of the targets take 2.5 times as long as usual for 0.6 s at a time and report it.

#include "routing/ServiceDispatcher.h"

#include "RoutingFixture.h"

#include <gtest/gtest.h>

namespace Tarragon {
namespace {

using RoutingFixture::at;

constexpr milliseconds UsualTime{ 80 };
constexpr milliseconds SlowTime{ 200 };

/// Twenty targets; the affinity target of the object becomes slow.
class TargetPaceTest : public testing::Test
{
protected:
    TargetPaceTest()
    {
        TargetRegistry::Targets targets;
        for (int i = 0; i < 20; ++i) {
            KnownTarget known;
            known.registration = RoutingFixture::target("n" + std::to_string(i));
            targets.emplace(known.registration.id, known);
        }
        m_dispatcher.setTargets(targets);
        for (int i = 0; i < 100; ++i) {
            const TargetId id("n" + std::to_string(i % 20));
            respond(id, 100, UsualTime, -1);
        }
        m_home = *place(0).target;
    }
    Placement place(double time)
    {
        return m_dispatcher.place(RoutingFixture::query(m_route, 17), at(time));
    }
    void respond(const TargetId &id, std::optional<int> pace, milliseconds duration, double time)
    {
        m_dispatcher.onSent(id, at(time));
        m_dispatcher.onReport(id, LoadReport{ 0, 0, 4, pace }, at(time));
        m_dispatcher.onEnded(id, m_route.name, SendOutcome::Answered, duration, false, at(time));
    }

    Route m_route = RoutingFixture::route();
    ServiceDispatcher m_dispatcher{ RoutingFixture::locality(), RoutingFixture::service() };
    TargetId m_home;
};

// Guards against requests that are sent to a target while it reports that it is slow.
TEST_F(TargetPaceTest, ASlowTargetIsAvoidedWhileItsReportIsRecent)
{
    respond(m_home, 250, SlowTime, 0);
    EXPECT_NE(place(0.01).target, m_home);
}

// Guards against a report that affects requests after the slow phase has ended.
TEST_F(TargetPaceTest, AnOldReportHasNoEffect)
{
    respond(m_home, 250, SlowTime, 0);
    EXPECT_EQ(place(0.6).target, m_home);
    EXPECT_LT(place(1.4).expectedProcessingTime, scaled(UsualTime, 1.02));
}

// Guards against a target that is avoided after a slow phase, as if it were slow for long.
TEST_F(TargetPaceTest, ASlowPhaseIsNotLearned)
{
    for (int i = 0; i < 6; ++i) {
        respond(m_home, 250, SlowTime, 0.1 * i);
    }
    respond(m_home, 100, UsualTime, 0.6);
    EXPECT_EQ(place(0.6).target, m_home);
    EXPECT_NEAR(inSeconds(place(0.6).expectedProcessingTime), inSeconds(UsualTime), 0.001);
}

// Guards against reports without a pace that hide a target that is slow for long.
TEST_F(TargetPaceTest, WithoutAPaceSlowResponsesAreLearned)
{
    for (int i = 0; i < 400; ++i) {
        const TargetId id("n" + std::to_string(i % 20));
        respond(id, std::nullopt, id == m_home ? 2 * SlowTime : UsualTime, 0);
    }
    EXPECT_NE(place(0).target, m_home);
}

} // namespace
} // namespace Tarragon
