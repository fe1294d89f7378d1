#include "steering/TargetHealth.h"

#include <gtest/gtest.h>

namespace Tarragon {
namespace {

MonotonicTime at(std::int64_t ms)
{
    return MonotonicTime(milliseconds(ms));
}

class TargetHealthTest : public testing::Test
{
protected:
    TargetHealthTest()
    {
        std::map<TargetId, ServiceId> targets;
        for (int i = 0; i < 4; ++i) {
            targets[target(i)] = ServiceId("catalog");
        }
        targets[TargetId("alone")] = ServiceId("checkout");
        m_health.setTargets(targets);
    }
    static TargetId target(int i) { return TargetId("t-" + std::to_string(i)); }
    void fail(const TargetId &id, std::int64_t ms, int times = 3)
    {
        for (int i = 0; i < times; ++i) {
            m_health.onFailure(id, at(ms));
        }
    }
    TargetCondition condition(const TargetId &id, std::int64_t ms) const
    {
        return m_health.condition(id, at(ms));
    }

    TargetHealth m_health;
};

// A single failed request must not eject a target and so lose its slots.
TEST_F(TargetHealthTest, EjectsAfterFailuresInARowOnly)
{
    fail(target(0), 0, 2);
    m_health.onSuccess(target(0), at(1));
    fail(target(0), 2, 2);
    EXPECT_FALSE(condition(target(0), 3).ejected);
    m_health.onProbe(target(0), false, at(4));
    EXPECT_TRUE(condition(target(0), 5).ejected);
    EXPECT_EQ(condition(target(0), 5).weight, 0);
}

// If all targets fail, the cause is probably common to them, and ejecting more than half would
// overload the rest.
TEST_F(TargetHealthTest, NeverEjectsMoreThanHalf)
{
    for (int i = 0; i < 4; ++i) {
        fail(target(i), 0, 10);
    }
    EXPECT_EQ(m_health.ejectedCount(ServiceId("catalog"), at(1)), 2);
    fail(TargetId("alone"), 0, 10);
    EXPECT_EQ(m_health.ejectedCount(ServiceId("checkout"), at(1)), 0);
}

TEST_F(TargetHealthTest, KeepsTheHalfWhenTargetsLeaveTheDocument)
{
    fail(target(0), 0);
    fail(target(1), 0);
    m_health.setTargets({ { target(0), ServiceId("catalog") },
                          { target(1), ServiceId("catalog") },
                          { target(2), ServiceId("catalog") } });
    EXPECT_EQ(m_health.ejectedCount(ServiceId("catalog"), at(1)), 1);
}

// A returning target has cold caches and would fail again under its full share of requests.
TEST_F(TargetHealthTest, RampsUpAfterAnEjectionAndAReturn)
{
    fail(target(0), 0);
    EXPECT_TRUE(condition(target(0), 4'999).ejected);
    EXPECT_NEAR(condition(target(0), 5'000).ramp, 0.2, 1e-9);
    EXPECT_NEAR(condition(target(0), 20'000).ramp, 0.6, 1e-9);
    EXPECT_EQ(condition(target(0), 35'000).ramp, 1);
    m_health.onReturn(target(1), at(50'000));
    EXPECT_NEAR(condition(target(1), 50'000).ramp, 0.2, 1e-9);
}

TEST_F(TargetHealthTest, EjectsLongerAtEachRepetition)
{
    fail(target(0), 0);
    fail(target(0), 6'000);
    EXPECT_TRUE(condition(target(0), 15'999).ejected);
    EXPECT_FALSE(condition(target(0), 16'000).ejected);
}

// A probe endpoint may answer although requests fail, so it must not end an ejection.
TEST_F(TargetHealthTest, ProbesProlongAnEjectionButDoNotEndIt)
{
    fail(target(0), 0);
    m_health.onProbe(target(0), true, at(1'000));
    EXPECT_TRUE(condition(target(0), 1'000).ejected);
    m_health.onProbe(target(0), false, at(4'000));
    EXPECT_TRUE(condition(target(0), 8'999).ejected);
    EXPECT_FALSE(condition(target(0), 9'000).ejected);
}

// Load reports arrive late and can be misleading: their effect decreases with age, and none can
// exclude a target.
TEST_F(TargetHealthTest, LoadReportsLoseWeightWithAge)
{
    m_health.onLoadReport(target(0), 1.0, milliseconds(0), at(10'000));
    EXPECT_NEAR(condition(target(0), 10'000).weight, 0.25, 1e-9);
    EXPECT_NEAR(condition(target(0), 12'500).weight, 0.5, 1e-9);
    EXPECT_EQ(condition(target(0), 15'000).weight, 1);
    m_health.onLoadReport(target(0), 0.0, milliseconds(6'000), at(15'000));
    EXPECT_NEAR(condition(target(0), 11'000).weight, 0.25, 1e-9);
}

} // namespace
} // namespace Tarragon
