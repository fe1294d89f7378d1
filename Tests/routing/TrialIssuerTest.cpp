#include "routing/TrialIssuer.h"

#include <gtest/gtest.h>

namespace Tarragon {
namespace {

constexpr MonotonicTime Start{ seconds(1'000) };

class TrialIssuerTest : public testing::Test
{
protected:
    static RequestFingerprint request(int number)
    {
        return fingerprintOf({ "request", std::to_string(number) });
    }
    /// Ends targets under a request.
    void endTargets(int number, int count, MonotonicTime now)
    {
        for (int i = 0; i < count; ++i) {
            m_suspects.onTargetEnded(request(number),
                                     endingOf(TargetId("t" + std::to_string(m_ended++)), 1), now);
        }
    }
    bool isGranted(int number, MonotonicTime now)
    {
        return m_issuer
                .issue(TrialRequest{ ServiceId("catalog"), m_suspects.find(request(number)),
                                     milliseconds(1'000) },
                       now)
                .isGranted;
    }

    SuspectRequests m_suspects;
    TrialIssuer m_issuer{ m_suspects };
    int m_ended = 0;
};

// Guards against a request under suspicion that runs in several places at a time, and against one
// that is blocked by an entry that died during its trial.
TEST_F(TrialIssuerTest, OneTrialOfARequestRunsAtATime)
{
    endTargets(1, 1, Start);
    EXPECT_TRUE(isGranted(1, Start));
    EXPECT_FALSE(isGranted(1, Start + milliseconds(900)));
    EXPECT_TRUE(isGranted(1, Start + milliseconds(1'000)));
    m_issuer.end(request(1));
    EXPECT_TRUE(isGranted(1, Start + milliseconds(1'001)));
}

// Guards against a cleared request that still needs permits.
TEST_F(TrialIssuerTest, ClearedRequestIsPermitted)
{
    endTargets(1, 3, Start);
    EXPECT_FALSE(isGranted(1, Start));
    m_suspects.onCompleted(request(1), Start);
    EXPECT_TRUE(isGranted(1, Start));
    EXPECT_TRUE(isGranted(1, Start));
}

// Guards against more than three retries of a request under which three targets have ended, also
// when its trials never come to run.
TEST_F(TrialIssuerTest, FewTrialsFollowTheThirdEnding)
{
    endTargets(1, 3, Start);
    int granted = 0;
    for (int i = 0; i < 20'000; ++i) {
        if (isGranted(1, Start + milliseconds(500) * i)) {
            ++granted;
            m_issuer.end(request(1));
        }
    }
    EXPECT_GE(granted, 1);
    EXPECT_LE(granted, 3);
}

// Guards against several harmful requests whose trials take many targets down at the same time.
TEST_F(TrialIssuerTest, TrialsAfterTheSecondEndingAreSpacedWithinAService)
{
    for (int i = 0; i < 6; ++i) {
        endTargets(i, 2, Start);
    }
    int granted = 0;
    for (int i = 0; i < 6; ++i) {
        granted += isGranted(i, Start + seconds(3)) ? 1 : 0;
    }
    EXPECT_EQ(granted, 1);
}

} // namespace
} // namespace Tarragon
