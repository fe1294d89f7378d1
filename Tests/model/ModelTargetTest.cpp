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

    /// Time from submitting a request to its answer, alone at the target.
    microseconds timeOf(std::uint64_t object)
    {
        const microseconds begin = m_schedule.now();
        m_target.submit(milliseconds(100), object, [](const TargetAnswer &) {});
        while (m_schedule.step(begin + seconds(10))) {
        }
        return m_schedule.now() - begin;
    }

    VirtualSchedule m_schedule;
    ModelTarget m_target{ m_schedule, makeService(), DiscoveredTarget(), 1 };
};

// Guards against a memory that is too large or forgets the wrong object.
TEST_F(ModelTargetTest, RemembersTheObjectsHandledLast)
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

// Guards against a target that takes more than its queue holds, or says so too late.
TEST_F(ModelTargetTest, DeclinesWhatItsQueueDoesNotHold)
{
    int ran = 0;
    int declined = 0;
    for (int i = 0; i < 3; ++i) {
        m_target.submit(milliseconds(100), std::nullopt,
                        [&](const TargetAnswer &answer) { (answer.hasRun ? ran : declined) += 1; });
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
