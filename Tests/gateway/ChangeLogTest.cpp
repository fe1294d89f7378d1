#include "gateway/ChangeLog.h"

#include <gtest/gtest.h>

namespace Tarragon {
namespace {

Platform::ChangePage pageOf(std::uint64_t revision, int changes)
{
    Platform::ChangePage page;
    page.revision = revision;
    for (int i = 0; i < changes; ++i) {
        Platform::StoredChange change;
        change.item.name = "t" + std::to_string(revision) + "-" + std::to_string(i);
        page.changes.push_back(change);
    }
    return page;
}

// Guards against neighbours that are told less than all changes behind what they know.
TEST(ChangeLogTest, TellsAllChangesBehindARevisionOrNone)
{
    ChangeLog log;
    EXPECT_FALSE(log.since(0).has_value());
    log.begin(10);
    EXPECT_FALSE(log.since(9).has_value());
    ASSERT_TRUE(log.since(10).has_value());
    EXPECT_EQ(log.since(10)->revision, 10u);
    log.add(pageOf(12, 2));
    log.add(pageOf(15, 0));
    log.add(pageOf(20, 1));
    EXPECT_EQ(log.since(10)->changes.size(), 3u);
    EXPECT_EQ(log.since(12)->changes.size(), 1u);
    EXPECT_EQ(log.since(12)->revision, 20u);
    EXPECT_EQ(log.since(25)->changes.size(), 0u);
    log.begin(30);
    EXPECT_FALSE(log.since(20).has_value());
}

// Guards against a log that grows with the time for which an entry has watched.
TEST(ChangeLogTest, ForgetsTheOldestChanges)
{
    ChangeLog log;
    log.begin(1);
    const int pages = static_cast<int>(ChangeLog::MaxChanges) / 100 + 10;
    for (int i = 1; i <= pages; ++i) {
        log.add(pageOf(static_cast<std::uint64_t>(i) * 10, 100));
    }
    EXPECT_FALSE(log.since(1).has_value());
    EXPECT_FALSE(log.since(90).has_value());
    EXPECT_EQ(log.since(100)->changes.size(), ChangeLog::MaxChanges);
}

// Guards against calls to the store by neighbours who listed a little earlier and missed nothing,
// and against missing what was made, changed or removed in between.
TEST(ChangeLogTest, ListsThatDifferInNothingNeedNoHistory)
{
    ChangeLog log;
    log.begin(30, ListedState{ 30, 5, 12 });
    log.add(pageOf(40, 1));
    ASSERT_TRUE(log.since(20, 5).has_value());
    EXPECT_EQ(log.since(20, 5)->changes.size(), 1u);
    EXPECT_FALSE(log.since(20).has_value()) << "it may have missed a removal";
    EXPECT_FALSE(log.since(20, 6).has_value()) << "one was removed since";
    EXPECT_FALSE(log.since(20, 4).has_value());
    EXPECT_FALSE(log.since(11, 5).has_value()) << "one was made or changed at 12";
    log.begin(50, ListedState{ 30, 5, 12 });
    EXPECT_FALSE(log.since(20, 5).has_value()) << "the list is older than the log";
}

} // namespace
} // namespace Tarragon
