#include "base/Error.h"
#include "steering/AtMostOnceRegistry.h"
#include "steering/AtMostOnceRunner.h"

#include <gtest/gtest.h>

namespace Tarragon {
namespace {

MonotonicTime at(std::int64_t ms)
{
    return MonotonicTime(milliseconds(ms));
}

RequestIdSeed exampleSeed()
{
    return { InstanceId("gr-north-1"), Incarnation(0x1f), InstanceId("gr-north-2"),
             Incarnation(0xabc), SeedGeneration(16) };
}

TEST(RequestIdSeed, FormatsAndParses)
{
    EXPECT_EQ(toString(exampleSeed()), "gr-north-1.1f.gr-north-2.abc.10");
    const auto parsed = parseRequestId("gr-north-1.1f.gr-north-2.abc.10.order.4711");
    ASSERT_TRUE(parsed);
    EXPECT_EQ(parsed->first, exampleSeed());
    EXPECT_EQ(parsed->second, "order.4711");
}

// If two texts were accepted for one id, it would have two records and the request could run twice.
TEST(RequestIdSeed, RejectsOtherSpellings)
{
    for (const char *text : { "", "a", "a.1.b.2.3", "a.1.b.2.3.", "a.01.b.2.3.x", "a.1F.b.2.3.x",
                              "a.0x1.b.2.3.x", "a.1.b.-2.3.x", ".1.b.2.3.x", "a.1..2.3.x",
                              "a.1.b.2.3.x y", "a.1.b.2.3.x\n", "a.11111111111111111.b.2.3.x" }) {
        EXPECT_FALSE(parseRequestId(text)) << text;
    }
    EXPECT_FALSE(parseRequestId("a.1.b.2.3." + std::string(MaxRequestIdLength, 'x')));
    RequestIdSeed dotted = exampleSeed();
    dotted.backup = InstanceId("b.c");
    EXPECT_THROW(toString(dotted), Error);
}

/// Primary "p", backup "b" and runner "r". Messages are delivered at once, except to the entries in
/// m_cutOff.
class AtMostOnceTest : public testing::Test
{
protected:
    explicit AtMostOnceTest(const AtMostOnceOptions &options = {})
        : m_primary(InstanceId("p"), Incarnation(1), options, at(0))
        , m_backup(InstanceId("b"), Incarnation(2), options, at(0))
        , m_runner(InstanceId("r"), Incarnation(3), options)
    {
        RegistryMessages out;
        m_primary.setBackup(InstanceId("b"), Incarnation(2), at(0), out);
        deliver(out);
    }
    MonotonicTime now() const { return at(m_now); }
    void deliver(const RegistryMessages &messages)
    {
        for (const RegistryMessage &it : messages) {
            if (m_cutOff.contains(it.to.value())) {
                continue;
            }
            RegistryMessages out;
            if (it.to == InstanceId("p")) {
                m_primary.receive(it.payload, now(), out);
            } else if (it.to == InstanceId("b")) {
                m_backup.receive(it.payload, now(), out);
            } else if (const ClaimAnswer *answer = std::get_if<ClaimAnswer>(&it.payload)) {
                m_runner.receive(*answer, now(), out);
            }
            deliver(out);
        }
    }
    void pass(std::int64_t ms)
    {
        m_now += ms;
        RegistryMessages out;
        m_primary.tick(now(), out);
        m_backup.tick(now(), out);
        m_runner.tick(now(), out);
        deliver(out);
    }
    RequestId makeId(const std::string &part)
    {
        return RequestId(toString(m_primary.seed(now()).value()) + "." + part);
    }
    RunNumber begin(const RequestId &id, int attempt)
    {
        RegistryMessages out;
        const RunNumber run = m_runner.begin(id, attempt, now() + seconds(5), now(), out);
        deliver(out);
        return run;
    }
    bool start(RunNumber run)
    {
        RegistryMessages out;
        const bool mayStart = m_runner.start(run, now(), out);
        deliver(out);
        return mayStart;
    }
    Verdict finish(RunNumber run, Verdict verdict, const std::string &body = "")
    {
        RegistryMessages out;
        const Verdict reported =
                m_runner.finish(run, verdict, FinishedResponse{ 201, {}, body }, now(), out);
        deliver(out);
        return reported;
    }
    RunPhase phase(RunNumber run) const { return m_runner.status(run).phase; }

    AtMostOnceRegistry m_primary;
    AtMostOnceRegistry m_backup;
    AtMostOnceRunner m_runner;
    std::set<std::string> m_cutOff;
    std::int64_t m_now = 0;
};

TEST_F(AtMostOnceTest, ALaterAttemptGetsTheFirstResponse)
{
    const RequestId id = makeId("x");
    const RunNumber first = begin(id, 1);
    ASSERT_TRUE(start(first));
    const RunNumber second = begin(id, 2);
    EXPECT_EQ(phase(second), RunPhase::Waiting);
    EXPECT_EQ(finish(first, Verdict::Ran, "booked"), Verdict::Ran);
    ASSERT_EQ(phase(second), RunPhase::Settled);
    EXPECT_EQ(m_runner.status(second).verdict, Verdict::Ran);
    EXPECT_EQ(m_runner.status(second).response.value().body, "booked");
}

// The primary may have failed when the caller tries again.
TEST_F(AtMostOnceTest, TheBackupKnowsTheResponseToo)
{
    const RequestId id = makeId("x");
    const RunNumber first = begin(id, 1);
    ASSERT_TRUE(start(first));
    finish(first, Verdict::Ran, "booked");
    m_cutOff = { "p" };
    const RunNumber second = begin(id, 2);
    pass(300);
    ASSERT_EQ(phase(second), RunPhase::Settled);
    EXPECT_EQ(m_runner.status(second).response.value().body, "booked");
}

TEST_F(AtMostOnceTest, TheBackupTakesOverAndThePrimaryFollows)
{
    const RequestId id = makeId("x");
    m_cutOff = { "p" };
    const RunNumber first = begin(id, 1);
    pass(300);
    ASSERT_TRUE(start(first));
    m_cutOff = {};
    const RunNumber second = begin(id, 2);
    EXPECT_EQ(phase(second), RunPhase::Waiting);
    EXPECT_EQ(finish(first, Verdict::MayHaveRun), Verdict::MayHaveRun);
    EXPECT_EQ(phase(second), RunPhase::Settled);
    EXPECT_EQ(m_runner.status(second).verdict, Verdict::MayHaveRun);
}

// The process can be paused between receiving the permission and sending the request.
TEST_F(AtMostOnceTest, AnExpiredPermissionDoesNotStartTheRequest)
{
    const RunNumber run = begin(makeId("x"), 2);
    ASSERT_EQ(phase(run), RunPhase::Permitted);
    m_now += 1'000;
    EXPECT_FALSE(start(run));
    EXPECT_EQ(m_runner.status(run).verdict, Verdict::NotRun);
}

// If an attempt has no number, an earlier one could be on its way and run after the response.
TEST_F(AtMostOnceTest, AnAttemptWithoutANumberNeverGetsNotRun)
{
    EXPECT_EQ(finish(begin(makeId("x"), 0), Verdict::NotRun), Verdict::MayHaveRun);
    EXPECT_EQ(finish(begin(makeId("y"), 1), Verdict::NotRun), Verdict::NotRun);
    EXPECT_EQ(AtMostOnceRunner::verdictOfRefusal(0), Verdict::MayHaveRun);
    EXPECT_EQ(AtMostOnceRunner::verdictOfRefusal(1), Verdict::NotRun);
    EXPECT_EQ(AtMostOnceRunner::verdictOfRefusal(2), Verdict::MayHaveRun);
}

TEST_F(AtMostOnceTest, IdsOfAnUnknownIncarnationAreNotRun)
{
    const RequestId id("p.77.b.2.1.x");
    const RunNumber first = begin(id, 1);
    EXPECT_EQ(phase(first), RunPhase::Settled);
    EXPECT_EQ(m_runner.status(first).verdict, Verdict::NotRun);
    const RunNumber second = begin(id, 2);
    EXPECT_EQ(m_runner.status(second).verdict, Verdict::MayHaveRun);
}

// Records are dropped eventually; requests with their ids must not run again after that.
TEST_F(AtMostOnceTest, RecordsAreDroppedWhenTheirIdsAreRejected)
{
    const RequestId id = makeId("x");
    const RunNumber run = begin(id, 1);
    ASSERT_TRUE(start(run));
    finish(run, Verdict::Ran, "booked");
    EXPECT_EQ(m_primary.recordCount(), 1U);
    EXPECT_EQ(m_backup.recordCount(), 1U);
    EXPECT_GT(m_backup.responseBytes().value, 0U);
    for (int i = 0; i < 61; ++i) {
        pass(10'000);
    }
    EXPECT_EQ(m_primary.recordCount(), 0U);
    EXPECT_EQ(m_backup.recordCount(), 0U);
    EXPECT_EQ(m_backup.responseBytes().value, 0U);
    const RunNumber late = begin(id, 2);
    ASSERT_EQ(phase(late), RunPhase::Settled);
    EXPECT_EQ(m_runner.status(late).verdict, Verdict::MayHaveRun);
    EXPECT_EQ(phase(begin(makeId("y"), 1)), RunPhase::Permitted);
}

// A backup that has dropped the records of a timed out primary must not take its ids over.
TEST_F(AtMostOnceTest, IdsOfATimedOutPrimaryAreRejectedUntilItRegistersANewGeneration)
{
    const RequestId id = makeId("x");
    const RunNumber run = begin(id, 1);
    ASSERT_TRUE(start(run));
    finish(run, Verdict::Ran, "booked");
    m_cutOff = { "p" };
    m_now += 601'000;
    RegistryMessages none;
    m_backup.tick(now(), none);
    EXPECT_EQ(m_backup.recordCount(), 0U);
    const RunNumber late = begin(id, 2);
    pass(300);
    pass(700);
    EXPECT_EQ(phase(late), RunPhase::Settled);
    EXPECT_EQ(m_runner.status(late).verdict, Verdict::MayHaveRun);
    m_cutOff = {};
    pass(10'000);
    EXPECT_EQ(phase(begin(makeId("y"), 1)), RunPhase::Permitted);
}

class AtMostOnceBoundsTest : public AtMostOnceTest
{
protected:
    static AtMostOnceOptions bounds()
    {
        AtMostOnceOptions options;
        options.maxRecords = 2;
        options.maxResponseSize = ByteCount{ 10 };
        return options;
    }
    AtMostOnceBoundsTest()
        : AtMostOnceTest(bounds())
    {}
};

// Dropping a record to make room for another would let its request run again.
TEST_F(AtMostOnceBoundsTest, RefusesBeforeMemoryOverflows)
{
    const RunNumber first = begin(makeId("a"), 1);
    ASSERT_TRUE(start(first));
    finish(first, Verdict::Ran, "much too long");
    EXPECT_EQ(m_primary.responseBytes().value, 0U);
    begin(makeId("b"), 1);
    const RunNumber third = begin(makeId("c"), 1);
    pass(1'000);
    ASSERT_EQ(phase(third), RunPhase::Settled);
    EXPECT_EQ(m_runner.status(third).verdict, Verdict::NotRun);
    const RunNumber again = begin(makeId("a"), 2);
    EXPECT_EQ(m_runner.status(again).verdict, Verdict::Ran);
    EXPECT_FALSE(m_runner.status(again).response);
}

} // namespace
} // namespace Tarragon
