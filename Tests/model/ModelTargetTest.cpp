#include "model/ModelTarget.h"

#include <gtest/gtest.h>

namespace Tarragon {
namespace {

class ModelTargetTest : public testing::Test
{
protected:
    static ModelService makeService()
    {
        ModelService service;
        service.slots = SlotCount{ 1 };
        service.queue = 1;
        service.remembered = 2;
        service.knownWork = 0.1;
        return service;
    }

    /// Returns the time from submitting a request to its result, without other requests at the
    /// target.
    microseconds timeOf(std::uint64_t object)
    {
        const microseconds begin = m_schedule.now();
        m_target.submit(milliseconds(100), object, [](const TargetResult &) {});
        while (m_schedule.step(begin + seconds(10))) {
        }
        return m_schedule.now() - begin;
    }

    VirtualSchedule m_schedule;
    ModelTarget m_target{ m_schedule, makeService(), DiscoveredTarget(), 1 };
};

// Guards against a cache that is too large or evicts the wrong object.
TEST_F(ModelTargetTest, CachesTheMostRecentlyUsedObjects)
{
    EXPECT_GT(timeOf(1), milliseconds(30));
    EXPECT_GT(timeOf(2), milliseconds(30));
    EXPECT_LT(timeOf(1), milliseconds(30));
    EXPECT_GT(timeOf(3), milliseconds(30));
    EXPECT_LT(timeOf(1), milliseconds(30));
    EXPECT_GT(timeOf(2), milliseconds(30));
    m_target.forget();
    EXPECT_GT(timeOf(2), milliseconds(30));
}

// Guards against a target that accepts more requests than its queue holds, or declines them late.
TEST_F(ModelTargetTest, DeclinesRequestsThatExceedItsQueue)
{
    int ran = 0;
    int declined = 0;
    for (int i = 0; i < 3; ++i) {
        m_target.submit(milliseconds(100), std::nullopt,
                        [&](const TargetResult &result) { (result.hasRun ? ran : declined) += 1; });
    }
    EXPECT_EQ(declined, 1);
    EXPECT_EQ(m_target.load().running, 1);
    EXPECT_EQ(m_target.load().waiting, 1);
    while (m_schedule.step(seconds(10))) {
    }
    EXPECT_EQ(ran, 2);
    EXPECT_EQ(m_target.longestQueue(), 1);
}

} // namespace
} // namespace Tarragon
