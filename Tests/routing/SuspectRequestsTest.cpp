#include "routing/SuspectRequests.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <random>

namespace Tarragon {
namespace {

constexpr MonotonicTime Start{ seconds(1'000) };
const RequestFingerprint Request = fingerprintOf({ "GET", "stand.example", "/read/1", "a" });

TargetEnding ending(int number)
{
    return endingOf(TargetId("t" + std::to_string(number)), 1);
}

// Guards against a request that is taken for another one of the same caller or with the same path.
TEST(SuspectRequestsTest, FingerprintsTellPathsAndCallersApart)
{
    EXPECT_EQ(Request, fingerprintOf({ "GET", "stand.example", "/read/1", "a" }));
    EXPECT_NE(Request, fingerprintOf({ "GET", "stand.example", "/read/2", "a" }));
    EXPECT_NE(Request, fingerprintOf({ "GET", "stand.example", "/read/1", "b" }));
    EXPECT_NE(Request, fingerprintOf({ "GET", "stand.example", "/read/1a", "" }));
}

// Guards against suspicion that outlasts the proof of innocence, through late news of the time
// before.
TEST(SuspectRequestsTest, ClearedRequestIsNotSuspectedAgainByLateNews)
{
    SuspectRequests suspects;
    suspects.onTargetEnded(Request, ending(1), Start);
    const SuspectRecord before = suspects.find(Request);
    EXPECT_TRUE(suspects.isSuspect(Request, Start));
    suspects.onCompleted(Request, Start);
    EXPECT_FALSE(suspects.merge(before, Start));
    EXPECT_FALSE(suspects.isSuspect(Request, Start));
    suspects.onTargetEnded(Request, ending(2), Start);
    EXPECT_TRUE(suspects.isSuspect(Request, Start));
}

// Guards against an end of one target that counts several times because entries report it each.
TEST(SuspectRequestsTest, OneEndingReportedByManyCountsOnce)
{
    SuspectRequests a;
    SuspectRequests b;
    a.onTargetEnded(Request, ending(1), Start);
    b.onTargetEnded(Request, ending(1), Start);
    b.onTargetEnded(Request, ending(2), Start);
    EXPECT_TRUE(a.merge(b.find(Request), Start));
    EXPECT_FALSE(a.merge(b.find(Request), Start));
    EXPECT_EQ(a.find(Request).endings.size(), 2u);
    EXPECT_EQ(a.digest(), b.digest());
}

// Guards against entries that end with different knowledge, because they heard the same news in
// different orders.
TEST(SuspectRequestsTest, NewsInAnyOrderLeadsToTheSameKnowledge)
{
    std::mt19937_64 random(1);
    std::vector<SuspectRecord> news;
    SuspectRequests source;
    for (int i = 0; i < 20; ++i) {
        if (random() % 5 == 0) {
            source.onCompleted(Request, Start);
        } else {
            source.onTargetEnded(Request, ending(static_cast<int>(random() % 12)), Start);
        }
        news.push_back(source.find(Request));
    }
    for (int i = 0; i < 50; ++i) {
        std::shuffle(news.begin(), news.end(), random);
        SuspectRequests other;
        for (const SuspectRecord &it : news) {
            other.merge(it, Start);
        }
        EXPECT_EQ(other.find(Request), source.find(Request));
    }
}

// Guards against memory that grows with the requests of callers, and against forgetting a request
// that has ended several targets for many that ended one.
TEST(SuspectRequestsTest, MemoryIsBoundedAndRepeatedEndingsOutlastSingleOnes)
{
    SuspectRequests suspects;
    suspects.onTargetEnded(Request, ending(1), Start);
    suspects.onTargetEnded(Request, ending(2), Start);
    for (std::size_t i = 0; i < SuspectRequests::MaxRecords + 500; ++i) {
        suspects.onTargetEnded(fingerprintOf({ std::to_string(i) }), ending(1), Start + seconds(1));
    }
    EXPECT_EQ(suspects.count(), SuspectRequests::MaxRecords);
    EXPECT_EQ(suspects.find(Request).endings.size(), 2u);
    suspects.removeUnused(Start + seconds(100));
    EXPECT_EQ(suspects.count(), 1u);
    suspects.removeUnused(Start + seconds(4'000));
    EXPECT_EQ(suspects.count(), 0u);
}

} // namespace
} // namespace Tarragon
